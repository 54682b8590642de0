package api

import (
	"net/http"
	"sync"
	"time"

	"geraniumcroft/internal/outcome"
)

// stream sends a generation's tokens as they come.
type stream struct {
	x       *exchange
	encoder *encoder
	ticker  *time.Timer

	mu      sync.Mutex // guards the fields below
	opened  bool
	ended   bool
	err     error
	buffer  []byte
	written time.Time
	// bounded is when the write deadline was set.
	bounded time.Time
}

func (x *exchange) stream(g *generation) {
	s := &stream{x: x, encoder: newEncoder(g)}
	x.broken = s.fail
	s.start()
	defer s.stop()
	result, err := x.router.Generate(x.r.Context(), g.GenerateRequest, s)
	if err != nil {
		s.fail(failureOf(err))
		return
	}
	s.complete(result.Finish)
}

// start sets the ticker before it can fire, so that tick may use it unlocked.
func (s *stream) start() {
	s.ticker = time.AfterFunc(time.Hour, s.tick)
	s.ticker.Reset(s.x.options.StreamHeadWait)
}

// Token implements router.TokenSink. Its error says that the caller has gone.
func (s *stream) Token(_ int, text string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.buffer = s.encoder.token(s.buffer[:0], text)
	return s.send()
}

// tick opens a stream whose first token is slow, and sends a comment on one that
// has had nothing to send.
func (s *stream) tick() {
	if !s.mu.TryLock() { // a write is under way, so there is nothing to say
		s.ticker.Reset(s.x.options.CommentInterval)
		return
	}
	defer s.mu.Unlock()
	if s.ended || s.err != nil {
		return
	}
	quiet := time.Since(s.written)
	if !s.opened || quiet >= s.x.options.CommentInterval {
		s.buffer = append(s.buffer[:0], comment...)
		_ = s.send()
		quiet = 0
	}
	s.ticker.Reset(s.x.options.CommentInterval - quiet)
}

// send writes the buffer out. When a write fails net/http cancels the request's
// context as well.
func (s *stream) send() error {
	if s.err != nil {
		return s.err
	}
	s.open()
	s.bound()
	_, err := s.x.w.Write(s.buffer)
	if err == nil {
		err = s.x.control.Flush()
	}
	if err != nil {
		s.err = err
	}
	return err
}

func (s *stream) open() {
	if s.opened {
		return
	}
	s.opened = true
	header := s.x.w.Header()
	header.Set("Content-Type", "text/event-stream; charset=utf-8")
	header.Set("X-Accel-Buffering", "no")
	header.Set("Trailer", HeaderOutcome)
	s.x.w.WriteHeader(http.StatusOK)
}

// bound renews the write deadline, but not for every token, as that costs a timer.
func (s *stream) bound() {
	s.written = time.Now()
	if s.written.Sub(s.bounded) > s.x.options.WriteTimeout/4 {
		s.bounded = s.written
		s.x.boundWrite()
	}
}

func (s *stream) complete(finish string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.buffer = s.encoder.finish(s.buffer[:0], finish, s.encoder.sent)
	s.buffer = s.encoder.outcome(s.buffer, outcome.Complete, "")
	s.buffer = append(s.buffer, doneData...)
	s.end(outcome.Complete)
}

// fail ends the stream without [DONE], which clients take for success.
func (s *stream) fail(f *outcome.Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.opened {
		s.ended = true
		s.x.fail(f)
		return
	}
	s.buffer = s.encoder.failed(s.buffer[:0], f)
	s.buffer = s.encoder.outcome(s.buffer, f.Outcome, f.Reason)
	s.end(f.Outcome)
}

func (s *stream) end(o outcome.Outcome) {
	s.ended = true
	_ = s.send()
	s.x.w.Header().Set(HeaderOutcome, o.String())
}

// stop ends the ticker. After it the writer is not touched again, also by a tick
// that is under way: it holds the lock, or finds the stream ended.
func (s *stream) stop() {
	s.ticker.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
}
