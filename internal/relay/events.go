package relay

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds the size of one event.
const maxEventBytes = 1 << 20

var errPartialEvent = errors.New("stream ended within an event")

// event is one complete event of a stream.
type event struct {
	// ID is the event's id, "" if it has none.
	ID string
	// Raw is the event as received, including the blank line that ends it.
	Raw []byte
}

// eventReader splits a stream into complete events. An incomplete event at the end is not returned:
// the replica that resumes the stream sends that event again, and the caller would receive a part
// of it twice.
type eventReader struct {
	lines *bufio.Reader
	raw   []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{lines: bufio.NewReaderSize(r, 1<<10)}
}

// next returns the next event, io.EOF after the last one, and another error if the stream broke
// off. The event is valid until the next call.
func (e *eventReader) next() (event, error) {
	e.raw = e.raw[:0]
	var id string
	for {
		start := len(e.raw)
		if err := e.line(); err != nil {
			return event{}, err
		}
		line := bytes.TrimRight(e.raw[start:], "\r\n")
		if len(line) == 0 {
			return event{ID: id, Raw: e.raw}, nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
}

// line appends one line to the event.
func (e *eventReader) line() error {
	for {
		part, err := e.lines.ReadSlice('\n')
		e.raw = append(e.raw, part...)
		switch {
		case err == nil:
			return nil
		case len(e.raw) > maxEventBytes:
			return errors.New("event is too long")
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(e.raw) > 0:
			return errPartialEvent
		default:
			return err
		}
	}
}

// isStreamEnd reports whether the replica itself ended the stream, as opposed to a stream that
// broke off.
func isStreamEnd(err error) bool {
	return errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF)
}
