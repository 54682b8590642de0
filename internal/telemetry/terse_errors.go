package telemetry

import "go.uber.org/zap/zapcore"

// terseErrors is a zapcore.Core that logs errors as their message only. Otherwise an error
// with a stack would add several kilobytes of source paths to each line, and a failing target
// causes one line per request.
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

// terse returns the fields with each error replaced by its message.
func terse(fields []zapcore.Field) []zapcore.Field {
	replaced := make([]zapcore.Field, len(fields))
	for i, field := range fields {
		replaced[i] = field
		if err, ok := field.Interface.(error); ok && field.Type == zapcore.ErrorType {
			replaced[i] = zapcore.Field{Key: field.Key, Type: zapcore.StringType, String: err.Error()}
		}
	}
	return replaced
}
