package relay

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// maxEventBytes bounds the size of one event, with what came before it since the last one.
	maxEventBytes = 1 << 20
	// usualEventBytes is the size up to which an event needs no reserved memory.
	usualEventBytes = 1 << 10
)

var (
	errPartialEvent = errors.New("stream ended within an event")
	errLongEvent    = errors.New("event is too long")
)

// event is one complete event of a stream.
type event struct {
	// ID is the event's id, "" if it has none.
	ID string
	// Raw is the event as received, including the blank line that ends it, and the comments and empty lines
	// before it.
	Raw []byte
	// Content is set if the event has an id or data. Without it, Raw is what followed the last event.
	Content bool
}

// eventReader splits a stream into complete events. An incomplete event at the end is not returned:
// the replica that resumes the stream sends that event again, and the caller would receive a part
// of it twice. Comments, empty lines and fields without content come with the next event: by themselves they
// are no progress of the stream.
type eventReader struct {
	lines  *bufio.Reader
	raw    []byte
	memory *bodyMemory
	// reserved is the memory that is reserved for raw.
	reserved int64
}

func newEventReader(r io.Reader, memory *bodyMemory) *eventReader {
	return &eventReader{lines: bufio.NewReaderSize(r, 1<<10), memory: memory}
}

// next returns the next event, io.EOF after the last one, and another error if the stream broke
// off. The event is valid until the next call.
func (e *eventReader) next() (event, error) {
	e.reset()
	var next event
	for atEnd := true; ; {
		start := len(e.raw)
		if err := e.line(); err != nil {
			if isStreamEnd(err) && len(e.raw) > start || isStreamEnd(err) && !atEnd {
				return event{}, errPartialEvent
			}
			if isStreamEnd(err) && len(e.raw) > 0 {
				return event{Raw: e.raw}, nil
			}
			return event{}, err
		}
		line := bytes.TrimRight(e.raw[start:], "\r\n")
		atEnd = len(line) == 0
		if atEnd && next.Content {
			next.Raw = e.raw
			return next, nil
		}
		next.readField(line)
	}
}

// readField takes what a line of the event says.
func (e *event) readField(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "id":
		e.ID, e.Content = string(bytes.TrimSpace(value)), true
	case "data":
		e.Content = true
	}
}

// line appends one line to the event.
func (e *eventReader) line() error {
	for {
		part, err := e.lines.ReadSlice('\n')
		if appendErr := e.append(part); appendErr != nil {
			return appendErr
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// append appends bytes to the event in memory that is reserved first.
func (e *eventReader) append(part []byte) error {
	need := len(e.raw) + len(part)
	if need > maxEventBytes {
		return errLongEvent
	}
	if need > cap(e.raw) && need > usualEventBytes {
		if err := e.grow(max(need, min(maxEventBytes, 2*cap(e.raw)))); err != nil {
			return err
		}
	}
	e.raw = append(e.raw, part...)
	return nil
}

func (e *eventReader) grow(capacity int) error {
	if !e.memory.reserve(answerKind(int64(capacity)), int64(capacity)) {
		return errNoBodyMemory
	}
	larger := make([]byte, len(e.raw), capacity)
	copy(larger, e.raw)
	e.memory.release(e.reserved)
	e.raw, e.reserved = larger, int64(capacity)
	return nil
}

// reset drops the last event and gives the memory of a large one back.
func (e *eventReader) reset() {
	if e.raw == nil || e.reserved > 0 {
		e.close()
		e.raw = make([]byte, 0, usualEventBytes)
	}
	e.raw = e.raw[:0]
}

// close gives the memory back. The last event must not be used afterwards.
func (e *eventReader) close() {
	e.memory.release(e.reserved)
	e.raw, e.reserved = nil, 0
}

// isStreamEnd reports whether the replica itself ended the stream, as opposed to a stream that
// broke off.
func isStreamEnd(err error) bool {
	return errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF)
}
