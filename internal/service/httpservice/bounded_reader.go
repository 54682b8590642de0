package httpservice

import (
	"net"
	"time"
)

// boundedReader reads from a connection within a bound of bytes, and bounds each
// wait for bytes.
type boundedReader struct {
	conn    net.Conn
	silence time.Duration
	left    int64
}

// Read implements io.Reader.
func (r *boundedReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, errTooLarge
	}
	if int64(len(p)) > r.left {
		p = p[:r.left]
	}
	if err := r.conn.SetReadDeadline(time.Now().Add(r.silence)); err != nil {
		return 0, err
	}
	n, err := r.conn.Read(p)
	r.left -= int64(n)
	return n, err
}
