package allocator

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/layers"
	"geraniumcroft/internal/transport"
)

// closeDelay is how long a link that is replaced stays open for answers that are on their way.
const closeDelay = time.Second

// Client asks the allocator of this VM's data centre for paths. It is safe for concurrent use.
type Client struct {
	name   string
	local  Reserver
	dialer dialer
	logger *zap.Logger

	mu         sync.Mutex // guards the fields below
	candidates []VM
	avoided    map[string]avoidance // by the name of a candidate
	// link leads to the allocator in use, and next to a better candidate that has not answered yet. Either
	// may be nil.
	link, next *link
	nextID     uint64
	// held are the paths in use that an allocator accounts for, by id.
	held map[uint64]*heldPath
}

// heldPath is a path in use.
type heldPath struct {
	Hold
	// reservation is set while this VM is the allocator itself.
	reservation *layers.Reservation
}

// NewClient returns a client of the VM with a name. It connects to allocators with dial, and uses local
// where this VM is the allocator itself.
func NewClient(name string, local Reserver, dial transport.DialFunc, logger *zap.Logger) *Client {
	return &Client{name: name, local: local, dialer: grpcDialer{dial: dial}, logger: logger, avoided: map[string]avoidance{}, held: map[uint64]*heldPath{}}
}

// SetVMs sets the VMs of this VM's data centre, with this one. The first request connects to an allocator,
// so that there are no connections where no requests compete.
func (c *Client) SetVMs(vms []VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.candidates = Candidates(vms)
	if c.link != nil || c.next != nil {
		c.choose(time.Now())
	}
}

// Grant is a path that an allocator has chosen. Release must be called when it is not used any more.
type Grant struct {
	Path layers.Path
	// Release ends the use. Ok says whether every replica of the path did its work.
	Release func(ok bool)
}

// Reserve asks for a path. The error is ErrUnavailable if no allocator answers, a *RefusedError, or that of
// the context.
func (c *Client) Reserve(ctx context.Context, r Request) (Grant, error) {
	link, id := c.begin(time.Now())
	if link == nil {
		return Grant{}, ErrUnavailable
	}
	if link.self {
		return c.reserveLocally(ctx, id, link, r)
	}
	answers := link.expect(id)
	defer link.forget(id)
	if !link.send(clientMessage{ID: id, Request: &r}) {
		c.fail(link, "its queue is full")
		return Grant{}, ErrUnavailable
	}
	path, err := link.await(ctx, answers, r.MaxWait)
	if err != nil {
		link.send(clientMessage{ID: id, Release: true}) // the answer may still come
		if err == ErrUnavailable && link.missed() {
			c.fail(link, "it does not answer")
		}
		return Grant{}, err
	}
	c.hold(id, link, Hold{Service: r.Service, Prompt: r.Prompt, Answer: r.Answer, Path: path}, nil)
	return Grant{Path: PathOf(path), Release: func(ok bool) { c.release(id, ok) }}, nil
}

// reserveLocally reserves a path where this VM is the allocator itself.
func (c *Client) reserveLocally(ctx context.Context, id uint64, link *link, r Request) (Grant, error) {
	reservation, err := c.local.Reserve(ctx, r)
	if err != nil {
		return Grant{}, err
	}
	path := reservation.Path()
	c.hold(id, link, Hold{Service: r.Service, Prompt: r.Prompt, Answer: r.Answer, Path: StagesOf(path)}, reservation)
	return Grant{Path: path, Release: func(ok bool) { c.release(id, ok) }}, nil
}

// RecordRejection tells the allocator that a replica turned a request away.
func (c *Client) RecordRejection(r Rejection) {
	c.mu.Lock()
	link := c.link
	c.mu.Unlock()
	switch {
	case link == nil:
	case link.self:
		c.local.RecordRejection(r)
	default:
		link.send(clientMessage{Rejection: &r})
	}
}

// begin returns the link to the allocator and the id of a new path. The link is nil if there is none.
func (c *Client) begin(now time.Time) (*link, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.choose(now)
	c.nextID++
	return c.link, c.nextID
}

// hold remembers a path in use, with its reservation if this VM has reserved it itself. If another
// allocator has been chosen meanwhile, that is told of the path.
func (c *Client) hold(id uint64, granted *link, h Hold, reservation *layers.Reservation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := &heldPath{Hold: h, reservation: reservation}
	c.held[id] = held
	if c.link != granted {
		c.tell(id, held)
	}
}

// tell accounts for a path at the allocator in use. c.mu is held.
func (c *Client) tell(id uint64, h *heldPath) {
	switch {
	case c.link == nil:
	case !c.link.self:
		c.link.send(clientMessage{ID: id, Hold: &h.Hold})
	case h.reservation == nil:
		if reservation, err := c.local.Adopt(h.Hold); err == nil {
			h.reservation = reservation
		}
	}
}

// release ends the use of a path.
func (c *Client) release(id uint64, ok bool) {
	c.mu.Lock()
	held, link := c.held[id], c.link
	delete(c.held, id)
	c.mu.Unlock()
	if held != nil && held.reservation != nil {
		held.reservation.Release(ok)
	}
	if link != nil && !link.self && !link.send(clientMessage{ID: id, Release: true, Served: ok}) {
		c.fail(link, "its queue is full") // it would account for the path for as long as the stream lasts
	}
}

// Allocator returns the name of the VM that allocates paths to this one, "" if there is none.
func (c *Client) Allocator() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.link == nil {
		return ""
	}
	return c.link.name
}

// Close ends all links.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.candidates = nil
	for _, l := range []*link{c.link, c.next} {
		if l != nil {
			l.close()
		}
	}
	c.link, c.next = nil, nil
}
