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
	maxInterim   = 4
)

var (
	// ErrTooLarge reports a response beyond its bound.
	ErrTooLarge = errors.New("the response is larger than the bound")
	errInterim  = errors.New("too many interim responses")
)

// Conn carries HTTP requests by hand, one at a time, each sent exactly once: with
// one connection and no pool behind it there is nothing that could resend. It
// needs no goroutine of its own, so an open stream costs little.
type Conn struct {
	raw     net.Conn
	reader  *bufio.Reader
	silence time.Duration
	until   time.Time
	// left is how many bytes may still be read.
	left        int64
	writeBuffer int
}

func newConn(raw net.Conn, silence time.Duration, s Settings) *Conn {
	c := &Conn{raw: raw, silence: silence, writeBuffer: s.WriteBuffer}
	c.reader = bufio.NewReaderSize(boundedReader{c}, s.ReadBuffer)
	return c
}

// SetIOTimeout changes the longest wait for bytes.
func (c *Conn) SetIOTimeout(silence time.Duration) { c.silence = silence }

// SetDeadline bounds all waits together; the zero time lifts the bound.
func (c *Conn) SetDeadline(t time.Time) { c.until = t }

// deadline returns when a wait that starts now is too long.
func (c *Conn) deadline() time.Time {
	bound := time.Now().Add(c.silence)
	if !c.until.IsZero() && c.until.Before(bound) {
		return c.until
	}
	return bound
}

// SetReadLimit sets how many more bytes may be read from the network.
func (c *Conn) SetReadLimit(bytes int64) { c.left = bytes }

// Buffered returns how many bytes were read from the network and not yet used.
func (c *Conn) Buffered() int { return c.reader.Buffered() }

// Close closes the connection, which ends every wait on it.
func (c *Conn) Close() { _ = c.raw.Close() }

// Send writes a request and reports whether a byte of it may have left this VM.
func (c *Conn) Send(req *http.Request) (bool, error) {
	if err := c.raw.SetWriteDeadline(c.deadline()); err != nil {
		return false, err
	}
	counted := &countingWriter{to: c.raw}
	buffered := bufio.NewWriterSize(counted, c.writeBuffer)
	if err := req.Write(buffered); err != nil {
		return counted.taken > 0, err
	}
	err := buffered.Flush()
	return counted.taken > 0, err
}

// ReadHead reads a response's head, past interim responses. The body may have
// bodyLimit bytes on the network.
func (c *Conn) ReadHead(req *http.Request, bodyLimit int64) (*http.Response, error) {
	c.left = maxHeadBytes + bodyLimit
	for range maxInterim {
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

// IsTimeout reports whether an error says that nothing arrived within the bound:
// our own bound, or the kernel's TCP_USER_TIMEOUT or keepalive.
func IsTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.ETIMEDOUT)
}
