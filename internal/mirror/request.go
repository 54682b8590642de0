package mirror

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const (
	// requestTimeout bounds a request for a revision, and an offer, whose copy is small.
	requestTimeout = 300 * time.Millisecond
	// copyTimeout bounds a request for the contents of a copy. A configuration of 1,770 profiles
	// takes 20 ms over a 20 Mbit/s link, and several VMs ask the same peer at once; a
	// configuration fifty times as large still arrives in time.
	copyTimeout = 2 * time.Second
	// hedgeDelay is when a second peer is asked for the same copy. A peer that fails or is cut off
	// between two requests delays the change by no more than this; without hedging the delay was
	// copyTimeout. When 16 VMs ask one peer with a 20 Mbit/s link, a copy takes 0.3 s.
	hedgeDelay = 500 * time.Millisecond
	// silentPeerTTL is how long a peer that did not answer is skipped. The list of VMs contains
	// dead VMs for up to half a minute, and a request to each of them runs into its timeout.
	silentPeerTTL = 10 * time.Second
)

// availablePeers returns the peers that may be asked now. If all peers are silent, as after this
// VM was cut off, it returns all of them; otherwise this VM would have no updates for another
// silentPeerTTL.
func (c *Client) availablePeers() Peers {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(c.silentUntil, func(_ string, until time.Time) bool { return now.After(until) })
	if len(c.silentUntil) == 0 {
		return c.peers
	}
	if answering := c.peers.exclude(c.silentUntil); len(answering.order(1)) > 0 {
		return answering
	}
	return c.peers
}

// recordAnswer records whether a peer answered.
func (c *Client) recordAnswer(address string, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if answered {
		delete(c.silentUntil, address)
	} else {
		c.silentUntil[address] = time.Now().Add(silentPeerTTL)
	}
}

// hedgedFetch sends the request to one peer, and to the other as well if the first has not
// answered within hedgeDelay or has failed. It returns the first answer, or nil if neither peer
// answered.
func (c *Client) hedgedFetch(ctx context.Context, first, other string, req fetchRequest) *fetchResponse {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan *fetchResponse, 2)
	fetch := func(address string) { answers <- c.do(ctx, address, req) }
	go fetch(first)
	pending, hedge := 1, time.After(hedgeDelay)
	for pending > 0 {
		select {
		case a := <-answers:
			if a != nil {
				return a
			}
			pending--
		case <-hedge:
		}
		if other != "" && other != first {
			go fetch(other)
			pending, other = pending+1, ""
		}
	}
	return nil
}

// do sends a request to a peer and records whether the peer answered. It returns nil if the peer
// did not answer or has no copy, or if the address is empty.
func (c *Client) do(ctx context.Context, address string, req fetchRequest) *fetchResponse {
	if address == "" {
		return nil
	}
	timeout := copyTimeout
	if req.Brief {
		timeout = requestTimeout
	}
	timed, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a := c.roundTrip(timed, address, req)
	if a != nil || ctx.Err() == nil {
		c.recordAnswer(address, a != nil) // a peer whose request was cancelled early is not silent
	}
	if a == noCopy {
		return nil
	}
	if a != nil && a.News > 0 && c.OnNews != nil {
		c.OnNews(address, a.News)
	}
	if a != nil && a.CutOff && c.OnCutOff != nil {
		c.OnCutOff(address)
	}
	return a
}

// noCopy is the answer of a peer that has no copy of the table yet. It counts as an answer: after
// a power loss of the whole fleet no VM has a load snapshot. If these peers counted as silent, the
// first snapshot would be neither offered to nor requested from any of them for silentPeerTTL.
var noCopy = &fetchResponse{}

func (c *Client) callPeer(ctx context.Context, address string, req fetchRequest) *fetchResponse {
	reply, err := c.invoke(ctx, address, fetchMethod, req)
	switch {
	case status.Code(err) == codes.NotFound:
		return noCopy
	case err != nil:
		return nil
	}
	var a fetchResponse
	if err := json.Unmarshal(reply.GetValue(), &a); err != nil {
		c.logger.Warn("peer's answer not decoded", zap.String("peer", address), zap.Error(err))
		return nil
	}
	return &a
}
