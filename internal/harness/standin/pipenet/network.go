package pipenet

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
)

// ErrRefused is what dialling an address without a listener gives.
var ErrRefused = errors.New("connection refused")

// Network connects processes in memory. They are named by the host part of their
// addresses. Its links can be cut, which makes open connections go silent, and
// broken, which does that and lets new ones pass.
type Network struct {
	mu        sync.Mutex // guards the fields below
	listeners map[string]*pipeListener
	cut       func(from, to string) bool
	conns     map[*cuttable]bool
}

// NewNetwork returns a network without listeners or cuts.
func NewNetwork() *Network {
	return &Network{
		listeners: map[string]*pipeListener{},
		cut:       func(string, string) bool { return false },
		conns:     map[*cuttable]bool{},
	}
}

// Listen opens a listener; the address may have had another one before.
func (w *Network) Listen(address string) net.Listener {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := &pipeListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	w.listeners[address] = l
	return l
}

// SetCut decides which links are cut from now on, in both directions.
func (w *Network) SetCut(cut func(from, to string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
}

// Silence makes the connections that are open now silent for good.
func (w *Network) Silence(on func(from, to string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		c.silent = c.silent || on(c.from, c.to)
	}
}

func (w *Network) isCut(c *cuttable) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return c.silent || w.cut(c.from, c.to) || w.cut(c.to, c.from)
}

// DialFrom returns a function that opens connections from a host.
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
	ours, theirs := New()
	select {
	case l.conns <- theirs:
	case <-l.closed:
		return nil, ErrRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	c := &cuttable{Conn: ours, network: w, from: from, to: to}
	w.mu.Lock()
	w.conns[c] = true
	w.mu.Unlock()
	return c, nil
}
