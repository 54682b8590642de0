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

const initialBufferSize = 512

// stream is the router's end of one stage.
type stream struct {
	client  *Client
	address string
	ctx     context.Context
	conn    *transport.Conn
	// detach stops the end of ctx from closing the connection.
	detach func() bool

	// The fields below are used by Open and Recv only. buf[start:end] was read but not
	// yet decoded.
	body          io.Reader
	buf           []byte
	start, end    int
	decoder       decoder
	ready         engine.Event
	readyReturned bool
}

func newStream(ctx context.Context, c *Client, address string, conn *transport.Conn) *stream {
	return &stream{
		client:  c,
		address: address,
		ctx:     ctx,
		conn:    conn,
		detach:  context.AfterFunc(ctx, conn.Close),
		buf:     make([]byte, initialBufferSize),
	}
}

// awaitReady reads the first event, which must be the ready event, and stores it for Recv.
func (s *stream) awaitReady() error {
	event, err := s.nextEvent()
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
	if !s.readyReturned {
		s.readyReturned = true
		return s.ready, nil
	}
	event, err := s.nextEvent()
	if err == nil {
		return event, nil
	}
	return engine.Event{}, s.streamError(err)
}

// streamError closes the stream and returns a *StreamError for a failed read.
func (s *stream) streamError(err error) error {
	cause := s.errorCause(err)
	streamErr := &engine.StreamError{Address: s.address, Silent: transport.IsTimeout(cause), Cause: cause}
	if streamErr.Silent {
		s.client.pool.CloseIdle(s.address)
	}
	s.Close()
	return streamErr
}

// errorCause returns the cause of a failed read or write. The end of the context closes the
// connection, so the context's error takes precedence over that of the connection.
func (s *stream) errorCause(err error) error {
	if cause := context.Cause(s.ctx); cause != nil {
		return cause
	}
	return err
}

// Close implements engine.Stream. It may be called during Recv, which then returns.
func (s *stream) Close() {
	s.detach()
	s.conn.Close()
}

func (s *stream) nextEvent() (engine.Event, error) {
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

// line returns the next line, which is valid until the next call.
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

// makeRoom makes room at the end of a full buffer: it moves the unread bytes to the start,
// or doubles the buffer if they are there already. It returns by how many bytes the content
// moved.
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

// fill reads once from the connection into the buffer. The end of the body is
// io.ErrUnexpectedEOF.
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
