package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queuedLines bounds the memory for lines that wait, with maxLineBytes.
	queuedLines  = 4096
	maxLineBytes = 16 << 10
	// syncTimeout bounds the wait for the queue to empty when the process ends.
	syncTimeout = 2 * time.Second
)

// AsyncWriter is a zapcore.WriteSyncer that never blocks: one goroutine writes
// out, and lines that find the queue full are dropped and counted.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	// closing is closed by Close, done when the goroutine has written all.
	closing   chan struct{}
	closeOnce sync.Once
	done      chan struct{}
}

// NewAsyncWriter starts a writer to out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{
		out:     out,
		lines:   make(chan []byte, queuedLines),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
	go w.run()
	return w
}

// Write queues a copy of the line; the caller uses its buffer again.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	kept := line
	if len(kept) > maxLineBytes {
		kept = append(kept[:maxLineBytes-1:maxLineBytes-1], '\n')
	}
	select {
	case w.lines <- append([]byte(nil), kept...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. The lines are written soon; to wait for
// them here would let a stalled writer stop whoever logs an error.
func (w *AsyncWriter) Sync() error { return nil }

// Dropped returns how many lines were lost.
func (w *AsyncWriter) Dropped() uint64 { return w.dropped.Load() }

// Close writes out what is queued and ends the writer. It gives up on a writer
// that is stalled.
func (w *AsyncWriter) Close() error {
	w.closeOnce.Do(func() { close(w.closing) })
	timer := time.NewTimer(syncTimeout)
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
			w.drain()
			return
		}
	}
}

func (w *AsyncWriter) drain() {
	for {
		select {
		case line := <-w.lines:
			_, _ = w.out.Write(line)
		default:
			return
		}
	}
}
