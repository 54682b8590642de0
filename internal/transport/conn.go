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
	// MaxHeadBytes bounds the heads of one response, interim ones included, on the network.
	MaxHeadBytes = 64 << 10
	// usualHeadBytes is the size up to which a head needs no reserved memory. Reading a larger one takes up
	// to headMemory: buffers that grow, and the parsed headers.
	usualHeadBytes = 4 << 10
	headMemory     = 16 * MaxHeadBytes
	// maxResponses bounds the responses that ReadHead reads for one request: up to 3 interim
	// (1xx) ones and the final one.
	maxResponses = 4
)

var (
	// ErrTooLarge reports a response that exceeds the read limit.
	ErrTooLarge = errors.New("the response is larger than the bound")
	// ErrNoMemory reports a head that has no memory beside what else is held.
	ErrNoMemory = errors.New("no memory for the head of the response")
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
	remaining int64
	// memory is where large heads are reserved, nil if they are not. headReserved is set while one is.
	memory       Memory
	headReserved bool
	readingHead  bool
	writeBuffer  int
}

// Memory is an account of memory in bytes. It must be safe for concurrent use.
type Memory interface {
	// Reserve takes bytes and reports whether there was room for them.
	Reserve(bytes int64) bool
	Release(bytes int64)
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

// SetMemory sets where heads beyond the usual size are reserved while they are read.
func (c *Conn) SetMemory(m Memory) { c.memory = m }

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
// that the body may have bodyLimit bytes on the network. The error is ErrTooLarge if the heads exceed
// MaxHeadBytes, and ErrNoMemory if a large one has no room.
func (c *Conn) ReadHead(req *http.Request, bodyLimit int64) (*http.Response, error) {
	c.remaining, c.readingHead = MaxHeadBytes, true
	defer c.endHead()
	for range maxResponses {
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			c.remaining = max(0, bodyLimit-int64(c.Buffered()))
			return resp, nil
		}
	}
	return nil, errInterim
}

// reserveHead reserves memory once a head exceeds the usual size.
func (c *Conn) reserveHead() error {
	if !c.readingHead || c.headReserved || c.memory == nil || c.remaining > MaxHeadBytes-usualHeadBytes {
		return nil
	}
	if !c.memory.Reserve(headMemory) {
		return ErrNoMemory
	}
	c.headReserved = true
	return nil
}

func (c *Conn) endHead() {
	if c.headReserved {
		c.memory.Release(headMemory)
	}
	c.readingHead, c.headReserved = false, false
}

// IsTimeout reports whether an error means that the connection was silent for too long: a
// deadline of this package passed, or the kernel's TCP_USER_TIMEOUT or keepalive ended the
// connection.
func IsTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.ETIMEDOUT)
}
