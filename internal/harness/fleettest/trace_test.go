package fleettest

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// trace records the events of a run, to find out why it failed. Runs are not exactly
// reproducible, so the trace must be kept from the run that failed.
type trace struct {
	began time.Time

	mu    sync.Mutex // guards lines
	lines strings.Builder
}

func newTrace() *trace { return &trace{began: time.Now()} }

func (t *trace) note(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fmt.Fprintf(&t.lines, "%9.3f ", time.Since(t.began).Seconds())
	fmt.Fprintf(&t.lines, format, args...)
	t.lines.WriteByte('\n')
}

func (t *trace) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lines.String()
}

// logger returns a logger for a VM that writes to the trace.
func (t *trace) logger(vm string) *zap.Logger {
	encoder := zapcore.NewConsoleEncoder(zapcore.EncoderConfig{MessageKey: "m", NameKey: "n", EncodeName: zapcore.FullNameEncoder})
	core := zapcore.NewCore(encoder, traceWriter{t}, zapcore.InfoLevel)
	return zap.New(core).Named(vm)
}

type traceWriter struct{ trace *trace }

// Write implements zapcore.WriteSyncer.
func (w traceWriter) Write(line []byte) (int, error) {
	w.trace.note("log  %s", strings.TrimSpace(string(line)))
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (traceWriter) Sync() error { return nil }
