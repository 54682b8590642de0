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

// maxAttempts is how many peers FetchOne asks in turn.
const maxAttempts = 3

// Client fetches copies from peers and offers copies to them. It is safe for concurrent use.
type Client struct {
	self   string
	logger *zap.Logger
	// roundTrip sends a request to a peer. Tests replace it by a simulated network.
	roundTrip func(ctx context.Context, address string, req fetchRequest) *fetchResponse
	// unpack decodes the change of an answer. Tests of fleets decode equal changes only once.
	unpack func(packed []byte) (platform.TableChange, error)
	// OnNews is called with the peer's address and its News revision (see Server.News) when an
	// answer carries one. It must not block, and must be set before the first request.
	OnNews func(address string, revision uint64)
	// OnCutOff is called with the address of a peer that says that it reaches no replica. It must not
	// block, and must be set before the first request; nil ignores it.
	OnCutOff func(address string)

	mu    sync.Mutex // guards the fields below
	peers Peers
	// silentUntil holds, for each peer that did not answer, until when it is asked only if no
	// other peer is left.
	silentUntil map[string]time.Time
	conns       map[string]*grpc.ClientConn
}

// NewClient returns a client for the VM with the address own, which is never asked. The seeds are
// asked until SetPeers is called.
func NewClient(own string, seeds []string, logger *zap.Logger) *Client {
	c := &Client{self: own, logger: logger, silentUntil: map[string]time.Time{}, conns: map[string]*grpc.ClientConn{}}
	c.roundTrip, c.unpack = c.callPeer, unpack
	c.SetPeers(Peers{Fallback: seeds})
	return c
}

// SetPeers replaces the peers that are asked.
func (c *Client) SetPeers(peers Peers) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers = peers.exclude(map[string]time.Time{c.self: {}})
}

// Fetch asks two peers what their copies hold, one of them in another data centre if possible, since
// the store may reject the first one. It then fetches from the peer with the later content, or else
// the later version, or from the first peer if both are equal, what that copy has beyond after. It returns
// the change and the time since that copy was confirmed to be current. ok is false if no peer
// answered.
func (c *Client) Fetch(ctx context.Context, table string, after platform.Cursor) (change platform.TableChange, age time.Duration, ok bool) {
	peers := c.availablePeers()
	order := peers.order(1)
	if len(order) == 0 {
		return change, 0, false
	}
	request := newFetchRequest(table, after)
	brief := request
	brief.Brief = true
	second := peers.second(order[0])
	answers := make(chan *fetchResponse, 1)
	go func() { answers <- c.do(ctx, second, brief) }()
	newest, from := c.do(ctx, order[0], brief), order[0]
	other := <-answers
	byFeed := newest != nil && newest.ByFeed || other != nil && other.ByFeed
	byRelay := newest != nil && newest.ByRelay || other != nil && other.ByRelay
	switch {
	case newest == nil && other == nil:
		return c.fetchOne(ctx, request)
	case newest == nil || other != nil && other.laterThan(newest):
		newest, from = other, second
	case other != nil && other.Cursor == newest.Cursor && other.fresherThan(newest, after.Version):
		newest = other // the first peer has the same copy
	}
	newest.ByFeed, newest.ByRelay = byFeed, byRelay
	if !after.Lacks(newest.Cursor) {
		return c.unpackAnswer(newest)
	}
	full := c.hedgedFetch(ctx, from, second, request)
	if full != nil && full.Cursor == newest.Cursor && newest.AgeMS < full.AgeMS {
		newest.UnchangedUpTo = max(full.UnchangedUpTo, newest.UnchangedUpTo)
		full.copyStatus = newest.copyStatus
	}
	return c.unpackAnswer(full)
}

// FetchOne asks one peer after another until one answers, up to maxAttempts. It is for copies that
// change continuously, of which any recent one is good enough.
func (c *Client) FetchOne(ctx context.Context, table string, after platform.Version) (change platform.TableChange, age time.Duration, ok bool) {
	return c.fetchOne(ctx, newFetchRequest(table, platform.Cursor{Version: after}))
}

func (c *Client) fetchOne(ctx context.Context, request fetchRequest) (change platform.TableChange, age time.Duration, ok bool) {
	brief := request
	brief.Brief = true
	for _, address := range c.availablePeers().order(maxAttempts) {
		held := c.do(ctx, address, brief)
		if held == nil {
			continue
		}
		if !request.cursor().Lacks(held.Cursor) {
			return c.unpackAnswer(held) // nothing to fetch
		}
		if a := c.do(ctx, address, request); a != nil {
			return c.unpackAnswer(a)
		}
	}
	return change, 0, false
}

// unpackAnswer converts an answer to a change and its age; ok is false if there is no answer.
func (c *Client) unpackAnswer(a *fetchResponse) (platform.TableChange, time.Duration, bool) {
	change := platform.TableChange{}
	if a == nil {
		return change, 0, false
	}
	if len(a.Change) > 0 {
		unpacked, err := c.unpack(a.Change)
		if err != nil {
			c.logger.Warn("peer's answer not decoded", zap.Error(err))
			return change, 0, false
		}
		change = unpacked
	}
	change.Version, change.Content, change.UnchangedUpTo = a.Version, a.Content, a.unchangedUpTo()
	change.Settling, change.SettlingLeft = a.Settling, time.Duration(a.SettlingLeftMS)*time.Millisecond
	change.SteadyFor = time.Duration(a.SteadyMS) * time.Millisecond
	change.ByFeed, change.ByRelay = a.ByFeed, a.ByRelay
	return change, time.Duration(a.AgeMS) * time.Millisecond, true
}

// FetchFrom asks one peer for what its copy has beyond the version after.
func (c *Client) FetchFrom(ctx context.Context, address, table string, after platform.Version) (change platform.TableChange, age time.Duration, ok bool) {
	return c.unpackAnswer(c.do(ctx, address, newFetchRequest(table, platform.Cursor{Version: after})))
}

// Offer sends a copy to one feed follower of each data centre, which forwards it to the others that
// peers ask. This VM need not be one that the others ask.
func (c *Client) Offer(ctx context.Context, table string, change platform.TableChange, age time.Duration) {
	targets, forward := c.availablePeers().offerTargets(false, 1)
	c.offer(ctx, targets, offerRequest{Table: table, Forward: forward}, change, age)
}

// OfferAll sends an urgent change to all VMs of a small fleet, and otherwise to feed followers of
// each data centre, which forward it. It returns how many accepted it.
func (c *Client) OfferAll(ctx context.Context, table string, change platform.TableChange, age time.Duration) int {
	targets, forward := c.availablePeers().offerTargets(true, offersPerDataCentre)
	return c.offer(ctx, targets, offerRequest{Table: table, Forward: forward}, change, age)
}

// Forward passes an offer that this VM has received on to the others of its data centre that peers
// ask.
func (c *Client) Forward(ctx context.Context, table string, change platform.TableChange, age time.Duration) {
	c.offer(ctx, c.availablePeers().LocalRelays, offerRequest{Table: table}, change, age)
}

// offer sends a change with the given request to peers. It returns how many accepted it.
func (c *Client) offer(ctx context.Context, addresses []string, o offerRequest, change platform.TableChange, age time.Duration) int {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	packed, err := pack(change)
	if err != nil {
		c.logger.Error("offer not packed", zap.String("table", o.Table), zap.Error(err))
		return 0
	}
	o.fetchResponse = fetchResponse{Cursor: platform.Cursor{Version: change.Version}, copyStatus: copyStatus{AgeMS: age.Milliseconds()}, Change: packed}
	var wg sync.WaitGroup
	var accepted atomic.Int32
	for _, address := range addresses {
		wg.Go(func() {
			if _, err := c.invoke(ctx, address, offerMethod, o); err != nil {
				c.logger.Debug("offer not accepted", zap.String("table", o.Table), zap.String("peer", address), zap.Error(err))
				return
			}
			accepted.Add(1)
		})
	}
	wg.Wait()
	return int(accepted.Load())
}
