package httpengine

import (
	"bytes"
	"sync"
)

// gatedBody is a body whose gate is called when the first byte is asked for, after a
// connection was found. Without the gate, an order could wait for a connection for
// longer than its sender's lease. A body that fails leaves the engine with less than
// the told length, which it cannot take for an order.
type gatedBody struct {
	body *bytes.Reader
	gate func() error

	once sync.Once
	err  error
}

// Read implements io.Reader.
func (b *gatedBody) Read(p []byte) (int, error) {
	b.once.Do(func() { b.err = b.gate() })
	if b.err != nil {
		return 0, b.err
	}
	return b.body.Read(p)
}

// Close implements io.Closer.
func (*gatedBody) Close() error { return nil }
