package httpengine

import (
	"bytes"
	"sync"
)

// checkedBody is a request body that calls check before the first byte is read, which is
// when the request has a connection. Without the check, an order that waits for a connection
// could be sent after its sender's lease has ended. If check fails, the engine receives
// fewer bytes than the Content-Length, which it cannot accept as an order.
type checkedBody struct {
	body  *bytes.Reader
	check func() error

	once sync.Once
	err  error
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	b.once.Do(func() { b.err = b.check() })
	if b.err != nil {
		return 0, b.err
	}
	return b.body.Read(p)
}

// Close implements io.Closer.
func (*checkedBody) Close() error { return nil }
