package relay

import (
	"io"
	"math"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/transport"
)

// unlimited is the size of a request's body that only the memory bounds.
const unlimited = math.MaxInt64

// errNoBodyMemory reports that a body has no room beside the others.
var errNoBodyMemory = errors.New("no memory for the body")

// bodyBuffer holds one body in memory that was reserved before the body was read.
type bodyBuffer struct {
	memory *bodyMemory
	kind   func(bytes int64) bodyKind
	data   []byte
	// declared is the length of the body, -1 if it is unknown. limit is the largest length.
	declared int64
	limit    int64
}

// newBodyBuffer reserves memory for a request's body of the declared length, or for the first chunk of one whose
// length is unknown (-1). The error is errNoBodyMemory.
func newBodyBuffer(memory *bodyMemory, declared int64) (*bodyBuffer, error) {
	b := &bodyBuffer{memory: memory, kind: func(int64) bodyKind { return requestBody }, declared: declared, limit: unlimited}
	if declared < 0 {
		declared = bodyChunk
	}
	return b, b.grow(declared)
}

// newAnswerBuffer reserves memory for the beginning of an answer of the declared length, -1 if it is unknown. A
// replica may declare more than it sends. It takes over credit bytes that are reserved already, as it needs them, and
// gives the others back, also with an error. The error is errNoBodyMemory or transport.ErrTooLarge.
func newAnswerBuffer(memory *bodyMemory, declared, credit int64) (*bodyBuffer, error) {
	b := &bodyBuffer{memory: memory, kind: answerKind, declared: declared, limit: memory.maxAnswer()}
	capacity := max(bodyChunk, credit)
	if declared >= 0 {
		capacity = min(capacity, declared)
	}
	switch {
	case declared > b.limit:
		memory.release(credit)
		return nil, transport.ErrTooLarge
	case capacity <= credit:
		memory.release(credit - capacity)
		b.data = make([]byte, 0, capacity)
		return b, nil
	}
	memory.release(credit)
	return b, b.grow(capacity)
}

// grow replaces the buffer by one of the given capacity. While the body is copied, both are reserved.
func (b *bodyBuffer) grow(capacity int64) error {
	if !b.memory.reserve(b.kind(capacity), capacity) {
		return errNoBodyMemory
	}
	larger := make([]byte, len(b.data), capacity)
	copy(larger, b.data)
	b.memory.release(int64(cap(b.data)))
	b.data = larger[:len(b.data):capacity]
	return nil
}

// readFrom reads the whole body. The error is errNoBodyMemory, transport.ErrTooLarge or that of the body.
func (b *bodyBuffer) readFrom(body io.Reader) error {
	for {
		if len(b.data) == cap(b.data) {
			done, err := b.readLast(body)
			if done || err != nil {
				return err
			}
		}
		n, err := body.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// readLast reads on with a full buffer. It reports whether the body has ended, and otherwise enlarges the buffer.
func (b *bodyBuffer) readLast(body io.Reader) (done bool, err error) {
	var next [1]byte
	n, err := io.ReadFull(body, next[:])
	switch {
	case n > 0:
		if err := b.enlarge(); err != nil {
			return false, err
		}
		b.data = append(b.data, next[0])
		return false, nil
	case errors.Is(err, io.EOF):
		return true, nil
	}
	return false, err
}

// enlarge doubles the buffer, up to the declared length or the limit.
func (b *bodyBuffer) enlarge() error {
	held := int64(cap(b.data))
	if held >= b.limit {
		return transport.ErrTooLarge
	}
	capacity := min(b.limit, max(bodyChunk, 2*held))
	if b.declared > held {
		capacity = min(capacity, b.declared)
	}
	return b.grow(capacity)
}

// release gives the memory back. The body must not be used afterwards.
func (b *bodyBuffer) release() {
	b.memory.release(int64(cap(b.data)))
	b.data = nil
}
