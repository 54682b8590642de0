package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines and maxLineBytes bound the memory of the queue.
	maxQueuedLines = 4096
	maxLineBytes   = 16 << 10
	// closeTimeout bounds the wait in Close for the queue to be written.
	closeTimeout = 2 * time.Second
)

// AsyncWriter is a zapcore.WriteSyncer whose Write and Sync never block. One goroutine writes
// the queued lines; if the queue is full, lines are dropped and counted. It is safe for
// concurrent use.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	// closing is closed by Close, done once the goroutine has written all queued lines.
	closing   chan struct{}
	closeOnce sync.Once
	done      chan struct{}
}

// NewAsyncWriter returns a writer to out and starts its goroutine, which Close ends.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{
		out:     out,
		lines:   make(chan []byte, maxQueuedLines),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
	go w.run()
	return w
}

// Write queues a copy of the line, as the caller reuses its buffer. A line longer than
// maxLineBytes is truncated. It never returns an error, also when the line is dropped.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	queued := line
	if len(queued) > maxLineBytes {
		queued = append(queued[:maxLineBytes-1:maxLineBytes-1], '\n')
	}
	select {
	case w.lines <- append([]byte(nil), queued...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing: waiting for the queued lines would
// block a goroutine that logs an error while the underlying writer is stalled.
func (w *AsyncWriter) Sync() error { return nil }

// Dropped returns the number of dropped lines.
func (w *AsyncWriter) Dropped() uint64 { return w.dropped.Load() }

// Close ends the goroutine after it has written the queued lines. It stops waiting after
// closeTimeout if the underlying writer is stalled. The error is always nil.
func (w *AsyncWriter) Close() error {
	w.closeOnce.Do(func() { close(w.closing) })
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
	return nil
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			_, _ = w.out.Write(line)
		case <-w.closing:
			w.flush()
			return
		}
	}
}

func (w *AsyncWriter) flush() {
	for {
		select {
		case line := <-w.lines:
			_, _ = w.out.Write(line)
		default:
			return
		}
	}
}
