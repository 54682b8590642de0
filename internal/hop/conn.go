package hop

import (
	"context"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

// Addr is the remote address of a connection through a peer.
type Addr struct {
	Replica string
	Peer    string
}

// Network implements net.Addr.
func (Addr) Network() string { return "tcp" }

// String implements net.Addr. It returns the replica's IP:port.
func (a Addr) String() string { return a.Replica }

// PeerAddress implements transport.PeerAddr.
func (a Addr) PeerAddress() string { return a.Peer }

// conn is a connection to a replica through a peer. Reads and writes may be concurrent with each other
// and with Close.
type conn struct {
	addr   Addr
	stream grpc.ClientStream
	cancel context.CancelFunc
	// received is the end of a pipe that readStream writes to. It has the deadline of reads.
	received net.Conn
	// endErr is how the stream ended, io.EOF if in order. It is set before the pipe is closed.
	endErr        atomic.Pointer[error]
	writeDeadline atomic.Pointer[time.Time]
	// onClose is called once, when the stream has ended.
	onClose func()
}

func newConn(stream grpc.ClientStream, cancel context.CancelFunc, addr Addr, onClose func()) *conn {
	received, pipe := net.Pipe()
	c := &conn{addr: addr, stream: stream, cancel: cancel, received: received, onClose: onClose}
	go c.readStream(pipe)
	return c
}

// readStream passes the replica's bytes on to the reader until the stream ends.
func (c *conn) readStream(pipe net.Conn) {
	defer c.onClose()
	defer c.cancel()
	chunk := &wrapperspb.BytesValue{}
	for {
		err := c.stream.RecvMsg(chunk)
		if err == nil {
			_, err = pipe.Write(chunk.GetValue())
		} else if !errors.Is(err, io.EOF) {
			err = &PeerError{Peer: c.addr.Peer, Cause: err}
		}
		if err != nil {
			c.endErr.Store(&err)
			_ = pipe.Close() // it holds no bytes
			return
		}
	}
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.received.Read(b)
	if errors.Is(err, io.EOF) {
		if end := c.endErr.Load(); end != nil {
			err = *end
		}
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	var late atomic.Bool
	if deadline := c.writeDeadline.Load(); deadline != nil && !deadline.IsZero() {
		timer := time.AfterFunc(time.Until(*deadline), func() {
			late.Store(true)
			c.cancel()
		})
		defer timer.Stop()
	}
	for written := 0; written < len(b); {
		n := min(chunkBytes, len(b)-written)
		if err := c.stream.SendMsg(wrapperspb.Bytes(b[written : written+n])); err != nil {
			if late.Load() {
				err = os.ErrDeadlineExceeded
			}
			return written, &PeerError{Peer: c.addr.Peer, Cause: err}
		}
		written += n
	}
	return len(b), nil
}

// Close implements net.Conn. The peer closes the replica's connection.
func (c *conn) Close() error {
	c.cancel()
	return c.received.Close()
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.addr }

// RemoteAddr implements net.Conn. It returns an Addr.
func (c *conn) RemoteAddr() net.Addr { return c.addr }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetWriteDeadline(t) // never fails
	return c.SetReadDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error { return c.received.SetReadDeadline(t) }

// SetWriteDeadline implements net.Conn. It holds for writes that begin later. One that exceeds it ends
// the connection.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline.Store(&t)
	return nil
}
