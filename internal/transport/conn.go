package transport

import (
	"bufio"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	maxHeadBytes = 64 << 10
	// maxResponses bounds the responses that ReadHead reads for one request: up to 3 interim
	// (1xx) ones and the final one.
	maxResponses = 4
)

var (
	// ErrTooLarge reports a response that exceeds the read limit.
	ErrTooLarge = errors.New("the response is larger than the bound")
	errInterim  = errors.New("too many interim responses")
)

// Conn sends HTTP requests over one connection, one at a time and each at most once: unlike
// http.Transport it has no pool that could resend a request. It needs no goroutine of its
// own, so an open stream is cheap. Only Close may be called concurrently with other methods.
type Conn struct {
	raw    net.Conn
	reader *bufio.Reader
	// ioTimeout bounds each single wait, overallDeadline all waits together unless zero.
	ioTimeout       time.Duration
	overallDeadline time.Time
	// remaining is the number of bytes that may still be read from the network.
	remaining   int64
	writeBuffer int
}

func newConn(raw net.Conn, ioTimeout time.Duration, s Settings) *Conn {
	c := &Conn{raw: raw, ioTimeout: ioTimeout, writeBuffer: s.WriteBuffer}
	c.reader = bufio.NewReaderSize(boundedReader{c}, s.ReadBuffer)
	return c
}

// SetIOTimeout sets the maximum duration of a single read from the network or of a Send.
func (c *Conn) SetIOTimeout(timeout time.Duration) { c.ioTimeout = timeout }

// SetDeadline sets the deadline of all following reads and writes together. The zero time
// removes it.
func (c *Conn) SetDeadline(t time.Time) { c.overallDeadline = t }

// nextDeadline returns the deadline of a read or write that starts now.
func (c *Conn) nextDeadline() time.Time {
	next := time.Now().Add(c.ioTimeout)
	if !c.overallDeadline.IsZero() && c.overallDeadline.Before(next) {
		return c.overallDeadline
	}
	return next
}

// SetReadLimit sets the number of further bytes that may be read from the network.
func (c *Conn) SetReadLimit(bytes int64) { c.remaining = bytes }

// Peer returns the peer that the connection goes through, "" if it is direct.
func (c *Conn) Peer() string {
	if through, ok := c.raw.RemoteAddr().(PeerAddr); ok {
		return through.PeerAddress()
	}
	return ""
}

// PeerAddr is the remote address of a connection through a peer.
type PeerAddr interface {
	net.Addr
	// PeerAddress returns the peer's IP:port.
	PeerAddress() string
}

// Buffered returns the number of bytes that were read from the network but not consumed yet.
func (c *Conn) Buffered() int { return c.reader.Buffered() }

// Close closes the connection, which aborts blocked reads and writes.
func (c *Conn) Close() { _ = c.raw.Close() }

// Send writes a request and reports whether bytes of it may have left this VM.
func (c *Conn) Send(req *http.Request) (bool, error) {
	if err := c.raw.SetWriteDeadline(c.nextDeadline()); err != nil {
		return false, err
	}
	counted := &countingWriter{out: c.raw}
	buffered := bufio.NewWriterSize(counted, c.writeBuffer)
	if err := req.Write(buffered); err != nil {
		return counted.written > 0, err
	}
	err := buffered.Flush()
	return counted.written > 0, err
}

// ReadHead reads a response's head and skips interim responses. It sets the read limit so
// that the body may have bodyLimit bytes on the network.
func (c *Conn) ReadHead(req *http.Request, bodyLimit int64) (*http.Response, error) {
	c.remaining = maxHeadBytes + bodyLimit
	for range maxResponses {
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, errInterim
}

// IsTimeout reports whether an error means that the connection was silent for too long: a
// deadline of this package passed, or the kernel's TCP_USER_TIMEOUT or keepalive ended the
// connection.
func IsTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.ETIMEDOUT)
}
