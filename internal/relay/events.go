package relay

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

var errPartialEvent = errors.New("the stream ended within an event")

// event is one whole event of a stream.
type event struct {
	// ID is "" for an event without one.
	ID string
	// Raw is the event as it came, with the blank line that ends it.
	Raw []byte
}

// eventReader cuts a stream into whole events. A rest that never became one is not
// returned: the replica that goes on sends that event again, and the caller would get
// a part of it twice.
type eventReader struct {
	lines *bufio.Reader
	raw   []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{lines: bufio.NewReaderSize(r, 1<<10)}
}

// next returns the next event, io.EOF behind the last, and another error where the
// stream broke off. The event is valid until the next call.
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
			return errors.New("an event is too long")
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(e.raw) > 0:
			return errPartialEvent
		default:
			return err
		}
	}
}

// isEnd reports whether a stream ended where its replica ended it.
func isEnd(err error) bool { return errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) }
