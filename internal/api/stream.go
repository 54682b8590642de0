package api

import (
	"net/http"
	"sync"
	"time"

	"geraniumcroft/internal/outcome"
)

// stream sends the tokens of a generation as server-sent events.
type stream struct {
	x       *exchange
	encoder *encoder
	timer   *time.Timer

	mu          sync.Mutex // guards the fields below
	headWritten bool
	ended       bool
	err         error
	buffer      []byte
	lastWrite   time.Time
	// deadlineSetAt is when the write deadline was last set.
	deadlineSetAt time.Time
}

// respondStream runs a generation and sends its tokens as they arrive.
func (x *exchange) respondStream(g *generation) {
	s := &stream{x: x, encoder: newEncoder(g)}
	x.onPanic = s.fail
	s.startTimer()
	defer s.stopTimer()
	result, err := x.router.Generate(x.r.Context(), g.GenerateRequest, s)
	if err != nil {
		s.fail(toFailure(err))
		return
	}
	s.complete(result.Finish)
}

// startTimer starts the timer for the first comment. The first duration is long, so
// that s.timer is set before onTimer, which uses it without the lock, can run.
func (s *stream) startTimer() {
	s.timer = time.AfterFunc(time.Hour, s.onTimer)
	s.timer.Reset(s.x.options.StreamHeadWait)
}

// Token implements router.TokenSink. An error means that the caller has
// disconnected or does not read.
func (s *stream) Token(_ int, text string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.buffer = s.encoder.appendToken(s.buffer[:0], text)
	return s.flush()
}

// onTimer opens the stream if its first token is slow, and sends a comment if the
// stream has been idle for CommentInterval.
func (s *stream) onTimer() {
	if !s.mu.TryLock() { // a write is in progress, so the stream is not idle
		s.timer.Reset(s.x.options.CommentInterval)
		return
	}
	defer s.mu.Unlock()
	if s.ended || s.err != nil {
		return
	}
	idle := time.Since(s.lastWrite)
	if !s.headWritten || idle >= s.x.options.CommentInterval {
		s.buffer = append(s.buffer[:0], comment...)
		_ = s.flush()
		idle = 0
	}
	s.timer.Reset(s.x.options.CommentInterval - idle)
}

// flush writes the buffer to the connection. If a write fails, net/http cancels the
// request's context, and all later calls return the error.
func (s *stream) flush() error {
	if s.err != nil {
		return s.err
	}
	s.writeHead()
	s.extendWriteDeadline()
	_, err := s.x.w.Write(s.buffer)
	if err == nil {
		err = s.x.control.Flush()
	}
	if err != nil {
		s.err = err
	}
	return err
}

// writeHead sends the status and the headers, once.
func (s *stream) writeHead() {
	if s.headWritten {
		return
	}
	s.headWritten = true
	header := s.x.w.Header()
	header.Set("Content-Type", "text/event-stream; charset=utf-8")
	header.Set("X-Accel-Buffering", "no")
	header.Set("Trailer", HeaderOutcome)
	s.x.w.WriteHeader(http.StatusOK)
}

// extendWriteDeadline extends the write deadline. It does so only after a quarter of
// WriteTimeout, not for every token, since setting a deadline resets a timer.
func (s *stream) extendWriteDeadline() {
	s.lastWrite = time.Now()
	if s.lastWrite.Sub(s.deadlineSetAt) > s.x.options.WriteTimeout/4 {
		s.deadlineSetAt = s.lastWrite
		s.x.setWriteDeadline()
	}
}

// complete ends the stream successfully.
func (s *stream) complete(finish string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.buffer = s.encoder.appendFinish(s.buffer[:0], finish, s.encoder.tokensSent)
	s.buffer = s.encoder.appendOutcome(s.buffer, outcome.Complete, "")
	s.buffer = append(s.buffer, doneEvent...)
	s.finish(outcome.Complete)
}

// fail ends the stream without [DONE], which clients treat as success. If the status
// has not been sent, it answers with a problem body instead.
func (s *stream) fail(f *outcome.Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.headWritten {
		s.ended = true
		s.x.writeProblem(f)
		return
	}
	s.buffer = s.encoder.appendError(s.buffer[:0], f)
	s.buffer = s.encoder.appendOutcome(s.buffer, f.Outcome, f.Reason)
	s.finish(f.Outcome)
}

// finish sends the last events and sets the trailer.
func (s *stream) finish(o outcome.Outcome) {
	s.ended = true
	_ = s.flush()
	s.x.w.Header().Set(HeaderOutcome, o.String())
}

// stopTimer stops the timer. Nothing is written after it returns: an onTimer that is
// already running either holds the lock, for which stopTimer waits, or finds the
// stream ended.
func (s *stream) stopTimer() {
	s.timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
}
