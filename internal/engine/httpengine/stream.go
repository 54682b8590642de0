package httpengine

import (
	"bytes"
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/engine"
)

var (
	errSilent   = errors.New("nothing arrived within the bound")
	errClosed   = errors.New("the stream was closed")
	errTooLarge = errors.New("an event is larger than the bound")
)

const firstLineBuffer = 1 << 10

// stream is the router's end of one stage.
type stream struct {
	client  *Client
	address string
	body    io.ReadCloser
	ctx     context.Context
	cancel  context.CancelCauseFunc
	idle    *time.Timer
	once    sync.Once

	// The rest is used by Open and Recv alone. buf[start:end] was read and not yet
	// decoded.
	buf        []byte
	start, end int
	decoder    decoder
	ready      engine.Event
	readyGiven bool
}

func newStream(c *Client, address string, body io.ReadCloser, cancel context.CancelCauseFunc) *stream {
	s := &stream{client: c, address: address, body: body, cancel: cancel}
	s.buf = make([]byte, firstLineBuffer)
	return s
}

// awaitReady reads the first event; the caller bounds it.
func (s *stream) awaitReady() error {
	event, err := s.next()
	if err != nil {
		return err
	}
	if event.Kind == engine.EventError {
		return errors.Newf("stage %d: %s", event.Blame, event.Message)
	}
	if event.Kind != engine.EventReady {
		return errNotReady
	}
	s.ready = event
	return nil
}

// Recv implements engine.Stream. The first event is the ready event.
func (s *stream) Recv() (engine.Event, error) {
	if !s.readyGiven {
		s.readyGiven = true
		return s.ready, nil
	}
	event, err := s.next()
	if err == nil {
		return event, nil
	}
	return engine.Event{}, s.broken(err)
}

func (s *stream) broken(err error) error {
	cause := context.Cause(s.ctx)
	if cause == nil {
		s.Close()
		return &engine.StreamError{Address: s.address, Cause: err}
	}
	silent := errors.Is(cause, errSilent)
	if silent {
		s.client.pool.Suspect(s.address)
	}
	s.Close()
	return &engine.StreamError{Address: s.address, Silent: silent, Cause: cause}
}

// Close implements engine.Stream.
func (s *stream) Close() {
	s.once.Do(func() {
		s.cancel(errClosed)
		_ = s.body.Close()
	})
}

func (s *stream) next() (engine.Event, error) {
	line, err := s.line()
	if err != nil {
		return engine.Event{}, err
	}
	event, err := s.decoder.decode(line)
	if err != nil {
		return engine.Event{}, errors.Wrap(err, "decode event")
	}
	return event, nil
}

// line returns the next line; it stands until the next call.
func (s *stream) line() ([]byte, error) {
	searched := s.start
	for {
		if at := bytes.IndexByte(s.buf[searched:s.end], '\n'); at >= 0 {
			line := s.buf[s.start : searched+at]
			s.start = searched + at + 1
			return line, nil
		}
		searched = s.end
		moved, err := s.makeRoom()
		if err != nil {
			return nil, err
		}
		searched -= moved
		if err := s.fill(); err != nil {
			return nil, err
		}
	}
}

// makeRoom moves what was read to the buffer's start or grows it, and returns by
// how much the content moved.
func (s *stream) makeRoom() (int, error) {
	if s.end < len(s.buf) {
		return 0, nil
	}
	if s.start > 0 {
		moved := s.start
		s.end = copy(s.buf, s.buf[s.start:s.end])
		s.start = 0
		return moved, nil
	}
	if len(s.buf) >= s.client.settings.MaxEventBytes {
		return 0, errTooLarge
	}
	grown := make([]byte, 2*len(s.buf))
	copy(grown, s.buf)
	s.buf = grown
	return 0, nil
}

// fill reads once, within the idle bound.
func (s *stream) fill() error {
	s.startIdle()
	n, err := s.body.Read(s.buf[s.end:])
	s.stopIdle()
	s.end += n
	if n > 0 {
		return nil
	}
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// startIdle bounds the read that follows. Only the wait for bytes is timed: a
// consumer that is slow to call Recv is not a silent connection.
func (s *stream) startIdle() {
	if s.ctx == nil {
		return
	}
	if s.idle == nil {
		s.idle = time.AfterFunc(s.client.settings.Idle, func() { s.cancel(errSilent) })
		return
	}
	s.idle.Reset(s.client.settings.Idle)
}

func (s *stream) stopIdle() {
	if s.idle != nil {
		s.idle.Stop()
	}
}
