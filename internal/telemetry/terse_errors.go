package telemetry

import "go.uber.org/zap/zapcore"

// terseErrors writes an error as its message alone. An error that carries its
// stack would otherwise add several kilobytes of source paths to each line, and a
// failing target writes one line a request.
type terseErrors struct {
	zapcore.Core
}

// With implements zapcore.Core.
func (c terseErrors) With(fields []zapcore.Field) zapcore.Core {
	return terseErrors{c.Core.With(terse(fields))}
}

// Check implements zapcore.Core.
func (c terseErrors) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(entry.Level) {
		return checked
	}
	return checked.AddCore(entry, c)
}

// Write implements zapcore.Core.
func (c terseErrors) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(entry, terse(fields))
}

func terse(fields []zapcore.Field) []zapcore.Field {
	written := make([]zapcore.Field, len(fields))
	for i, field := range fields {
		written[i] = field
		if err, ok := field.Interface.(error); ok && field.Type == zapcore.ErrorType {
			written[i] = zapcore.Field{Key: field.Key, Type: zapcore.StringType, String: err.Error()}
		}
	}
	return written
}
