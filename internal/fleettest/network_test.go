package fleettest

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"

	"geraniumcroft/internal/standin/pipenet"
)

var errRefused = errors.New("connection refused")

// network connects VMs in memory. VMs are named by the host part of their address.
type network struct {
	mu        sync.Mutex // guards the fields below
	listeners map[string]*pipeListener
	cut       func(from, to string) bool
	conns     map[*cuttable]bool
}

func newNetwork() *network {
	return &network{listeners: map[string]*pipeListener{}, cut: noCut, conns: map[*cuttable]bool{}}
}

func noCut(string, string) bool { return false }

func hostOf(address string) string {
	host, _, _ := strings.Cut(address, ":")
	return host
}

// listen opens a listener; the address may have had another one before.
func (w *network) listen(address string) (net.Listener, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := &pipeListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	w.listeners[address] = l
	return l, nil
}

// setCut decides which links are cut from now on, in both directions.
func (w *network) setCut(cut func(from, to string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
}

// silence makes the connections of a VM that are open now silent for good.
func (w *network) silence(host string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		c.silent = c.silent || c.from == host || c.to == host
	}
}

func (w *network) isCut(c *cuttable) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return c.silent || w.cut(c.from, c.to) || w.cut(c.to, c.from)
}

func (w *network) dial(ctx context.Context, from, address string) (net.Conn, error) {
	to := hostOf(address)
	w.mu.Lock()
	l := w.listeners[address]
	cut := w.cut(from, to) || w.cut(to, from)
	w.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if l == nil {
		return nil, errRefused
	}
	ours, theirs := pipenet.New()
	select {
	case l.conns <- theirs:
	case <-l.closed:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	c := &cuttable{Conn: ours, network: w, from: from, to: to}
	w.mu.Lock()
	w.conns[c] = true
	w.mu.Unlock()
	return c, nil
}

// cuttable is the dialling end; what passes it in either direction while it is
// cut is lost without an error.
type cuttable struct {
	net.Conn
	network  *network
	from, to string
	silent   bool // guarded by network.mu
}

func (c *cuttable) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.network.isCut(c) {
			return n, err
		}
		c.silence()
	}
}

func (c *cuttable) Write(p []byte) (int, error) {
	if c.network.isCut(c) {
		c.silence()
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// silence keeps a connection that has lost bytes silent, as its stream is broken.
func (c *cuttable) silence() {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.silent = true
}

func (c *cuttable) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

type pipeListener struct {
	address string
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return pipenet.Addr(l.address) }
