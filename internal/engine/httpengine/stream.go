package httpengine

import (
	"bytes"
	"context"
	"io"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/transport"
)

var errEventTooLarge = errors.New("an event is larger than the bound")

const firstLineBuffer = 512

// stream is the router's end of one stage.
type stream struct {
	client  *Client
	address string
	ctx     context.Context
	wire    *transport.Conn
	// release detaches the stream from its context.
	release func() bool

	// The rest is used by Open and Recv alone. buf[start:end] was read and not yet
	// decoded.
	body       io.Reader
	buf        []byte
	start, end int
	decoder    decoder
	ready      engine.Event
	readyGiven bool
}

func newStream(ctx context.Context, c *Client, address string, wire *transport.Conn) *stream {
	return &stream{
		client:  c,
		address: address,
		ctx:     ctx,
		wire:    wire,
		release: context.AfterFunc(ctx, wire.Close),
		buf:     make([]byte, firstLineBuffer),
	}
}

// awaitReady reads the first event.
func (s *stream) awaitReady() error {
	event, err := s.next()
	if err != nil {
		return err
	}
	if event.Kind == engine.EventError {
		return errors.Newf("stage %d: %s", event.FailedStage, event.Message)
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
	cause := s.why(err)
	failure := &engine.StreamError{Address: s.address, Silent: transport.IsSilence(cause), Cause: cause}
	if failure.Silent {
		s.client.pool.Suspect(s.address)
	}
	s.Close()
	return failure
}

// why returns the cause of a failed wait: the end of the context, which closes the
// connection, goes before what the closed connection says.
func (s *stream) why(err error) error {
	if cause := context.Cause(s.ctx); cause != nil {
		return cause
	}
	return err
}

// Close implements engine.Stream. It may be called while Recv waits, which ends.
func (s *stream) Close() {
	s.release()
	s.wire.Close()
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
		return 0, errEventTooLarge
	}
	grown := make([]byte, 2*len(s.buf))
	copy(grown, s.buf)
	s.buf = grown
	return 0, nil
}

// fill reads once.
func (s *stream) fill() error {
	n, err := s.body.Read(s.buf[s.end:])
	s.end += n
	if n > 0 {
		return nil
	}
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
