package telemetry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"geraniumcroft/internal/outcome"
	"geraniumcroft/internal/secret"
)

func newTestLog(t *testing.T, out io.Writer) *Log {
	t.Helper()
	log, err := NewLog(LogOptions{Level: "info", Format: "json", Out: out})
	if err != nil {
		t.Fatal(err)
	}
	return log
}

func TestSecretIsNeverPrinted(t *testing.T) {
	const plain = "tok-4711"
	key := secret.New(plain)
	var out bytes.Buffer
	log := newTestLog(t, &out)
	log.Info("m", zap.Any("a", key), zap.Reflect("b", struct{ S secret.Value }{key}), zap.Stringer("c", key), zap.Any("d", map[secret.Value]secret.Value{key: key}))
	log.Close()
	encoded, err := json.Marshal(map[secret.Value]any{key: []secret.Value{key}})
	if err != nil {
		t.Fatal(err)
	}
	printed := out.String() + string(encoded) + fmt.Sprintf("%v %s %q %x %d %#v %+v", key, key, key, key, key, key, struct{ S secret.Value }{key})
	if strings.Contains(printed, plain) || strings.Contains(printed, fmt.Sprintf("%x", plain)) {
		t.Errorf("the secret is printed in %s", printed)
	}
	if strings.Count(printed, key.String()) < 10 {
		t.Errorf("too few placeholders in %s", printed)
	}
	if key.Reveal() != plain {
		t.Error("Reveal does not return the secret")
	}
}

// stalledWriter blocks each write until release is closed.
type stalledWriter struct{ release chan struct{} }

func (w *stalledWriter) Write(b []byte) (int, error) {
	<-w.release
	return len(b), nil
}

// The log's writer stalls, as with a full pipe. Logging must not block, and lines beyond the
// queue are dropped and counted. With direct writes each line would block its request.
func TestStalledLogDoesNotBlock(t *testing.T) {
	out := &stalledWriter{release: make(chan struct{})}
	writer := NewAsyncWriter(out)
	for range maxQueuedLines + 10 {
		if _, err := writer.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if dropped := writer.Dropped(); dropped < 9 || dropped > 10 {
		t.Errorf("%d lines dropped, want the 9 or 10 beyond the queue and the line being written", dropped)
	}
	close(out.release)
	writer.Close()
}

func TestLogEnd(t *testing.T) {
	var out bytes.Buffer
	log := newTestLog(t, &out)
	LogEnd(log.Logger, RequestEnd{RequestID: "r1", Outcome: outcome.Complete})
	LogEnd(log.Logger, RequestEnd{RequestID: "r2", Outcome: outcome.NotRun, Reason: outcome.ReasonDeadline, Took: time.Second})
	LogEnd(log.Logger, RequestEnd{RequestID: "r3", Outcome: outcome.Unknown, Cause: io.EOF})
	log.Close()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 2 || !strings.Contains(lines[0], `"requestId":"r2"`) || !strings.Contains(lines[1], `"requestId":"r3"`) {
		t.Errorf("lines %q", lines)
	}
}

// A burst of 10,000 refused requests is logged as a sample of its lines.
func TestLogIsSampledUnderLoad(t *testing.T) {
	var out bytes.Buffer
	log := newTestLog(t, &out)
	for range 10000 {
		LogEnd(log.Logger, RequestEnd{RequestID: "r", Outcome: outcome.NotRun})
	}
	log.Close()
	if lines := strings.Count(out.String(), "\n"); lines < sampleFirst || lines > 2000 {
		t.Errorf("%d lines", lines)
	}
}

// While a target fails, each request logs its error. The line must contain the message
// without the stack of the error, which would fill the log's queue.
func TestErrorsAreLoggedWithoutTheirStacks(t *testing.T) {
	var out bytes.Buffer
	log := newTestLog(t, &out)
	err := errors.Wrap(errors.New("reset"), "call")
	log.With(zap.NamedError("first", err)).Info("m", zap.Error(err))
	log.Close()
	if line := out.String(); strings.Contains(line, "log_test.go") || strings.Count(line, "call: reset") != 2 {
		t.Error(line)
	}
}
