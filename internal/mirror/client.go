package mirror

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"geraniumcroft/internal/platform"
)

// tried is how many peers are asked one after the other until one answers.
const tried = 3

// Client asks peers. It is safe for concurrent use.
type Client struct {
	own    string
	logger *zap.Logger
	// asker asks a peer; tests put a network of their own in its place.
	asker func(ctx context.Context, address string, q question) *answer
	// OnNews is told the revision of what a peer tells beside tables whenever an answer carries
	// one. It must not block, and is set before the first question.
	OnNews func(address string, revision uint64)

	mu    sync.Mutex // guards the fields below
	peers Peers
	// silent says until when a peer that did not answer is asked only if no other is left.
	silent map[string]time.Time
	conns  map[string]*grpc.ClientConn
}

// NewClient returns a client of a VM whose own address is never asked.
func NewClient(own string, seeds []string, logger *zap.Logger) *Client {
	c := &Client{own: own, logger: logger, silent: map[string]time.Time{}, conns: map[string]*grpc.ClientConn{}}
	c.asker = c.askPeer
	c.SetPeers(Peers{Fallback: seeds})
	return c
}

// SetPeers replaces the addresses that are asked.
func (c *Client) SetPeers(peers Peers) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers = peers.withoutAny(map[string]time.Time{c.own: {}})
}

// Fetch asks two peers for their revisions, one of them of another data centre if there is
// one, as the store may turn the first one away. What the newer copy has beyond this VM's
// is then fetched from the nearer peer that has it. It returns that with the time since the
// copy was confirmed. Ok is false when no peer answered.
func (c *Client) Fetch(ctx context.Context, table string, after uint64) (change platform.TableChange, age time.Duration, ok bool) {
	peers := c.known()
	order := peers.order()
	if len(order) == 0 {
		return change, 0, false
	}
	brief := question{Table: table, After: after, Brief: true}
	second := peers.second(order[0])
	answers := make(chan *answer, 1)
	go func() { answers <- c.ask(ctx, second, brief) }()
	newest, from := c.ask(ctx, order[0], brief), order[0]
	other := <-answers
	byFeed := newest != nil && newest.ByFeed || other != nil && other.ByFeed
	switch {
	case newest == nil && other == nil:
		return c.FetchOne(ctx, table, after)
	case newest == nil || other != nil && other.Revision > newest.Revision:
		newest, from = other, second
	case other != nil && other.Revision == newest.Revision && other.saysMore(newest, after):
		newest = other // the nearer one has the same copy
	}
	newest.ByFeed = byFeed
	if newest.Revision <= after {
		return c.opened(newest)
	}
	whole := c.askEither(ctx, from, second, question{Table: table, After: after})
	if whole != nil && whole.Revision == newest.Revision && newest.AgeMS < whole.AgeMS {
		newest.UnchangedUpTo = max(whole.UnchangedUpTo, newest.UnchangedUpTo)
		whole.standing = newest.standing
	}
	return c.opened(whole)
}

// FetchOne asks one peer after another until one answers. It is for copies that change all
// the time, of which any recent one will do.
func (c *Client) FetchOne(ctx context.Context, table string, after uint64) (change platform.TableChange, age time.Duration, ok bool) {
	order := c.known().order()
	for _, address := range order[:min(tried, len(order))] {
		brief := c.ask(ctx, address, question{Table: table, After: after, Brief: true})
		if brief == nil {
			continue
		}
		if brief.Revision <= after {
			return c.opened(brief) // there is nothing to fetch
		}
		if a := c.ask(ctx, address, question{Table: table, After: after}); a != nil {
			return c.opened(a)
		}
	}
	return change, 0, false
}

// opened unpacks an answer, if there is one.
func (c *Client) opened(a *answer) (platform.TableChange, time.Duration, bool) {
	change := platform.TableChange{}
	if a == nil {
		return change, 0, false
	}
	if len(a.Change) > 0 {
		unpacked, err := unpack(a.Change)
		if err != nil {
			c.logger.Warn("peer's answer not read", zap.Error(err))
			return change, 0, false
		}
		change = unpacked
	}
	change.Revision, change.UnchangedUpTo = a.Revision, a.unchangedUpTo()
	change.Settling, change.SettlingLeft = a.Settling, time.Duration(a.SettlingLeftMS)*time.Millisecond
	change.ByFeed = a.ByFeed
	return change, time.Duration(a.AgeMS) * time.Millisecond, true
}

// FetchFrom asks one peer for what it has beyond a revision.
func (c *Client) FetchFrom(ctx context.Context, address, table string, after uint64) (change platform.TableChange, age time.Duration, ok bool) {
	return c.opened(c.ask(ctx, address, question{Table: table, After: after}))
}

// Offer hands a copy to one follower of each data centre, from which the others learn it.
// A VM that makes something need not be one of those that are asked.
func (c *Client) Offer(ctx context.Context, table string, change platform.TableChange, age time.Duration) {
	c.offer(ctx, c.known().onePerDataCentre(), table, change, age)
}

// OfferAll hands a change to all followers, and to all other VMs of a fleet that has few. It
// returns how many took it.
func (c *Client) OfferAll(ctx context.Context, table string, change platform.TableChange, age time.Duration) int {
	return c.offer(ctx, c.known().offeredAll(), table, change, age)
}

func (c *Client) offer(ctx context.Context, addresses []string, table string, change platform.TableChange, age time.Duration) int {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	packed, err := pack(change)
	if err != nil {
		c.logger.Error("copy not offered", zap.String("table", table), zap.Error(err))
		return 0
	}
	o := offered{Table: table, answer: answer{Revision: change.Revision, standing: standing{AgeMS: age.Milliseconds()}, Change: packed}}
	var offering sync.WaitGroup
	var taken atomic.Int32
	for _, address := range addresses {
		offering.Go(func() {
			if _, err := c.invoke(ctx, address, offerMethod, o); err != nil {
				c.logger.Debug("copy not taken", zap.String("table", table), zap.String("peer", address), zap.Error(err))
				return
			}
			taken.Add(1)
		})
	}
	offering.Wait()
	return int(taken.Load())
}
