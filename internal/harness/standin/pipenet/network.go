package pipenet

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
)

// ErrRefused is returned when dialling an address without a listener.
var ErrRefused = errors.New("connection refused")

// Network connects processes in memory. A process is identified by the host part of
// its addresses. The link between two hosts can be cut: then open connections go
// silent and new ones are not established. Open connections can also be silenced
// while new ones work. A Network is safe for concurrent use.
type Network struct {
	mu        sync.Mutex // guards the fields below
	listeners map[string]*pipeListener
	cut       func(from, to string) bool
	conns     map[*cuttableConn]bool
}

// NewNetwork returns a network without listeners or cuts.
func NewNetwork() *Network {
	return &Network{
		listeners: map[string]*pipeListener{},
		cut:       func(string, string) bool { return false },
		conns:     map[*cuttableConn]bool{},
	}
}

// Listen opens a listener. It replaces an earlier listener of the address.
func (w *Network) Listen(address string) net.Listener {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := &pipeListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	w.listeners[address] = l
	return l
}

// SetCut sets the function that reports which links are cut. A link is cut in both
// directions if it is reported for either. A connection that loses data while its link
// is cut stays silent after the cut ends.
func (w *Network) SetCut(cut func(from, to string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
}

// Silence permanently silences the open connections for which the function returns
// true, given the dialling and the accepting host. New ones work.
func (w *Network) Silence(on func(from, to string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		c.silent = c.silent || on(c.from, c.to)
	}
}

func (w *Network) isCut(c *cuttableConn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return c.silent || w.cut(c.from, c.to) || w.cut(c.to, c.from)
}

// DialFrom returns a function that opens connections from the given host. While the
// link is cut, dialling blocks until the context ends.
func (w *Network) DialFrom(from string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		return w.dial(ctx, from, address)
	}
}

func (w *Network) dial(ctx context.Context, from, address string) (net.Conn, error) {
	to, _, _ := strings.Cut(address, ":")
	w.mu.Lock()
	l := w.listeners[address]
	cut := w.cut(from, to) || w.cut(to, from)
	w.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if l == nil {
		return nil, ErrRefused
	}
	local, remote := New()
	select {
	case l.conns <- remote:
	case <-l.closed:
		return nil, ErrRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	c := &cuttableConn{Conn: local, network: w, from: from, to: to}
	w.mu.Lock()
	w.conns[c] = true
	w.mu.Unlock()
	return c, nil
}
