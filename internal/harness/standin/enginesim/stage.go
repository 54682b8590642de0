package enginesim

import (
	"strconv"
	"strings"
	"sync/atomic"

	"geraniumcroft/internal/engine"
)

const stopPiece = "stop:"

// stage is one request's share of an engine.
type stage struct {
	open engine.StageOpen
	hop  engine.Hop
	last bool
	out  *outbox
	// kv is the number of positions of prompt and answer in the KV cache.
	kv int
	// stopAt is the position after which the generation stops by itself, or -1.
	stopAt int
	// over says that the generation has ended, so the slot is free.
	over   bool
	silent atomic.Bool // its connection is silent, for streams of a DirectClient
	record *Executed
}

func newStage(open engine.StageOpen) *stage {
	return &stage{
		open:   open,
		hop:    open.Hops[open.Index],
		last:   open.Index == len(open.Hops)-1,
		out:    newOutbox(),
		stopAt: stopPosition(open.Prompt),
	}
}

// context is the number of positions before generated position p.
func (s *stage) context(p int) int { return len(s.open.Prompt) + p }

// prefixes returns the hashes of the prompt's whole blocks.
func (s *stage) prefixes() []uint64 {
	return engine.PrefixHashes(s.open.Model, s.open.Version, s.open.Adapter, s.open.Prompt)
}

func (s *stage) event(kind engine.EventKind) engine.Event {
	return engine.Event{Kind: kind, RequestID: s.open.RequestID, Epoch: s.open.Epoch}
}

func (s *stage) fail(blame int, message string) {
	event := s.event(engine.EventError)
	event.FailedStage = blame
	event.Message = message
	s.out.push(event)
	s.out.close()
}

func stopPosition(prompt []string) int {
	for _, piece := range prompt {
		rest, found := strings.CutPrefix(strings.TrimSpace(piece), stopPiece)
		if !found {
			continue
		}
		if at, err := strconv.Atoi(rest); err == nil {
			return at
		}
	}
	return -1
}
