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
	// askTimeout bounds a question for a revision, and for a copy that is small.
	askTimeout = 300 * time.Millisecond
	// copyTimeout bounds a question for what a copy has. A configuration of 1,770 profiles
	// takes 20 ms over a link of 20 Mbit/s, and some VMs ask the same peer at once; one fifty
	// times as large still arrives.
	copyTimeout = 2 * time.Second
	// secondAfter is when another peer is asked for the same copy. A peer that stops between
	// two questions, or is cut off, costs the change no more than this, where it cost
	// copyTimeout. With 16 VMs at one peer of 20 Mbit/s a copy takes 0.3 s.
	secondAfter = 500 * time.Millisecond
	// silence is for how long a peer that did not answer is passed over. The list of VMs has
	// dead ones for up to half a minute, and each of them costs a question its time limit.
	silence = 10 * time.Second
)

// known returns the peers that may be asked now. Where all were silent, as after this VM was
// cut off, all may be asked: else it would go on without news for as long again.
func (c *Client) known() Peers {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(c.silent, func(_ string, until time.Time) bool { return now.After(until) })
	if heard := c.peers.withoutAny(c.silent); len(heard.order()) > 0 {
		return heard
	}
	return c.peers
}

// heard notes whether a peer answered.
func (c *Client) heard(address string, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if answered {
		delete(c.silent, address)
	} else {
		c.silent[address] = time.Now().Add(silence)
	}
}

// askEither asks one peer, and another one too if the first has not answered for a while. It
// returns the first answer, nil if neither answered.
func (c *Client) askEither(ctx context.Context, first, other string, q question) *answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan *answer, 2)
	ask := func(address string) { answers <- c.ask(ctx, address, q) }
	go ask(first)
	open, patience := 1, time.After(secondAfter)
	for open > 0 {
		select {
		case a := <-answers:
			if a != nil {
				return a
			}
			open--
		case <-patience:
		}
		if other != "" && other != first {
			go ask(other)
			open, other = open+1, ""
		}
	}
	return nil
}

// ask asks one peer. It returns nil when the peer did not answer or has no copy, or there is
// no peer.
func (c *Client) ask(ctx context.Context, address string, q question) *answer {
	if address == "" {
		return nil
	}
	timeout := copyTimeout
	if q.Brief {
		timeout = askTimeout
	}
	timed, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a := c.asker(timed, address, q)
	if a != nil || ctx.Err() == nil {
		c.heard(address, a != nil) // whoever was not waited for long enough is not silent
	}
	if a == withoutCopy {
		return nil
	}
	if a != nil && a.News > 0 && c.OnNews != nil {
		c.OnNews(address, a.News)
	}
	return a
}

// withoutCopy is what a peer answers that has no copy of the table yet. It was heard: after the
// loss of all power nobody has a board of loads, and if those that said so passed for silent,
// the first one would be offered to nobody and asked of nobody for as long as silence holds.
var withoutCopy = &answer{}

func (c *Client) askPeer(ctx context.Context, address string, q question) *answer {
	reply, err := c.invoke(ctx, address, fetchMethod, q)
	switch {
	case status.Code(err) == codes.NotFound:
		return withoutCopy
	case err != nil:
		return nil
	}
	var a answer
	if err := json.Unmarshal(reply.GetValue(), &a); err != nil {
		c.logger.Warn("peer's answer not read", zap.String("peer", address), zap.Error(err))
		return nil
	}
	return &a
}
