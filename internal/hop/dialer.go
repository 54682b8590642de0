package hop

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"

	"geraniumcroft/internal/reach"
	"geraniumcroft/internal/transport"
)

const (
	// directHeadStart is how long a direct attempt may take before a peer is asked as well. It usually
	// takes about 2 ms.
	directHeadStart = 50 * time.Millisecond
	// peerHeadStart is the same for a peer, which may have to be connected to first.
	peerHeadStart = 150 * time.Millisecond
	// maxTimerDelay is how late the head start may end before this VM is assumed to have been delayed
	// itself. It then waits for another head start.
	maxTimerDelay = 20 * time.Millisecond
	// maxSecondWays bounds the attempts that are made beside or after a direct one while this VM is not
	// cut off. Without it, an overloaded VM would double its load.
	maxSecondWays = 32
)

// Dialer connects to replicas directly or through a peer. It is safe for concurrent use.
type Dialer struct {
	direct     transport.DialFunc
	client     *Client
	tracker    *reach.Tracker
	routes     *reach.Routes
	secondWays *semaphore.Weighted
}

// NewDialer returns a dialer. The direct attempts that it makes are recorded by the function direct,
// unless it cancels them.
func NewDialer(direct transport.DialFunc, client *Client, tracker *reach.Tracker, routes *reach.Routes) *Dialer {
	return &Dialer{direct: direct, client: client, tracker: tracker, routes: routes, secondWays: semaphore.NewWeighted(maxSecondWays)}
}

// way is one of the ways to a replica.
type way struct {
	throughPeer bool
	headStart   time.Duration
}

// result is the outcome of an attempt by one way.
type result struct {
	way  way
	conn net.Conn
	err  error
}

// Dial is a transport.DialFunc. If a peer reached the replica or told why not, the error is that of the
// peer. A refused direct connection is reported as such only if this VM is not cut off, and no peer was
// asked in vain.
func (d *Dialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	cutOff := d.tracker.CutOff()
	ways := [2]way{{headStart: directHeadStart}, {throughPeer: true, headStart: peerHeadStart}}
	if cutOff || d.routes.PeerFirst(address, time.Now()) {
		ways[0], ways[1] = ways[1], ways[0]
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	race := &race{dialer: d, network: network, address: address, cutOff: cutOff, results: make(chan result, len(ways))}
	return race.run(ctx, ways)
}

// race is one connection attempt by up to two ways.
type race struct {
	dialer           *Dialer
	network, address string
	cutOff           bool
	results          chan result
	pending          int
	// directErr and peerErr are the errors of the ways that have failed.
	directErr, peerErr error
	// directLate is set if a direct attempt has taken longer than its head start.
	directLate bool
}

// run makes the attempts and returns the first connection.
func (r *race) run(ctx context.Context, ways [2]way) (net.Conn, error) {
	r.start(ctx, ways[0])
	second := true // may be started
	headStart := time.NewTimer(ways[0].headStart)
	defer headStart.Stop()
	due := time.Now().Add(ways[0].headStart)
	for r.pending > 0 {
		select {
		case got := <-r.results:
			r.pending--
			if got.err == nil {
				r.won(got)
				return got.conn, nil
			}
			r.lost(got)
		case <-headStart.C:
			if time.Since(due) > maxTimerDelay {
				due = time.Now().Add(ways[0].headStart)
				headStart.Reset(ways[0].headStart)
				continue
			}
			r.directLate = !ways[0].throughPeer
		}
		if second {
			second = false
			r.startSecond(ctx, ways[1])
		}
	}
	return nil, r.failure()
}

// startSecond starts the second way unless there is no use in it.
func (r *race) startSecond(ctx context.Context, w way) {
	switch {
	case ctx.Err() != nil:
	case !w.throughPeer:
		r.start(ctx, w)
	case !r.dialer.routes.AskPeer(r.address, time.Now()):
	case r.cutOff:
		r.start(ctx, w)
	case r.dialer.secondWays.TryAcquire(1):
		r.start(ctx, w, func() { r.dialer.secondWays.Release(1) })
	}
}

// start starts an attempt, and calls the functions when it has ended.
func (r *race) start(ctx context.Context, w way, ended ...func()) {
	r.pending++
	go func() {
		got := result{way: w}
		if w.throughPeer {
			got.conn, got.err = r.dialer.client.Dial(ctx, r.address, r.isDoubtful())
		} else {
			got.conn, got.err = r.dialer.direct(ctx, r.network, r.address)
		}
		for _, f := range ended {
			f()
		}
		r.results <- got
	}()
}

// won records the way that connected, and closes the connection of the other one if that connects too.
func (r *race) won(got result) {
	now := time.Now()
	if !got.way.throughPeer {
		r.dialer.routes.RecordDirect(r.address)
	} else if r.directErr != nil || r.directLate {
		r.dialer.routes.RecordDetour(r.address, now)
	}
	if got.way.throughPeer && r.directErr == nil && r.directLate {
		r.dialer.tracker.RecordDial(r.address, false, now)
	}
	go func(pending int) {
		for range pending {
			if other := <-r.results; other.err == nil {
				_ = other.conn.Close() // unused
			}
		}
	}(r.pending)
}

// isDoubtful reports whether this VM may be cut off.
func (r *race) isDoubtful() bool { return r.cutOff || r.dialer.tracker.Doubtful(time.Now()) }

// lost records the error of a way.
func (r *race) lost(got result) {
	if got.way.throughPeer {
		r.peerErr = got.err
	} else {
		r.directErr = got.err
	}
}

// failure returns the error of an attempt for which both ways failed.
func (r *race) failure() error {
	now := time.Now()
	var told *ReplicaError
	switch {
	case errors.As(r.peerErr, &told):
		if !r.isDoubtful() {
			r.dialer.routes.RecordUnreached(r.address, now)
		}
		return r.peerErr
	case r.directErr == nil:
		return r.peerErr
	case r.cutOff, r.dialer.tracker.CutOff(), r.peerErr != nil && !errors.Is(r.peerErr, ErrNoPeer):
		return &UnconfirmedError{Cause: r.directErr}
	}
	return r.directErr
}
