package relay

import (
	"io"

	"github.com/cockroachdb/errors"
)

// errNoBodyMemory reports that a body has no room beside the others.
var errNoBodyMemory = errors.New("no memory for the body")

// bodyBuffer holds one body in memory that was reserved before the body was read.
type bodyBuffer struct {
	memory *bodyMemory
	data   []byte
}

// newBodyBuffer reserves memory for a body of the declared length, or for the first chunk of one whose
// length is unknown (-1). The error is errNoBodyMemory.
func newBodyBuffer(memory *bodyMemory, declared int64) (*bodyBuffer, error) {
	b := &bodyBuffer{memory: memory}
	if declared < 0 {
		declared = bodyChunk
	}
	return b, b.grow(int(declared))
}

// grow replaces the buffer by one of the given capacity. While the body is copied, both are reserved.
func (b *bodyBuffer) grow(capacity int) error {
	if !b.memory.reserve(int64(capacity)) {
		return errNoBodyMemory
	}
	larger := make([]byte, len(b.data), capacity)
	copy(larger, b.data)
	b.memory.release(int64(cap(b.data)))
	b.data = larger[:len(b.data):capacity]
	return nil
}

// readFrom reads the whole body.
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

// readLast reads on with a full buffer. It reports whether the body has ended, and otherwise doubles the buffer.
func (b *bodyBuffer) readLast(body io.Reader) (done bool, err error) {
	var next [1]byte
	n, err := io.ReadFull(body, next[:])
	switch {
	case n > 0:
		if err := b.grow(max(bodyChunk, 2*cap(b.data))); err != nil {
			return false, err
		}
		b.data = append(b.data, next[0])
		return false, nil
	case errors.Is(err, io.EOF):
		return true, nil
	}
	return false, err
}

// release gives the memory back. The body must not be used afterwards.
func (b *bodyBuffer) release() {
	b.memory.release(int64(cap(b.data)))
	b.data = nil
}
