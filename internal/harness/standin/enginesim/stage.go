package enginesim

import (
	"strconv"
	"strings"
	"sync/atomic"

	"geraniumcroft/internal/engine"
)

const stopPiece = "stop:"

// stage is the state of one request on an engine. Except for out and silent, it is
// guarded by the engine's lock.
type stage struct {
	open engine.StageOpen
	hop  engine.Hop
	last bool
	out  *outbox
	// kv is the number of positions of prompt and generated tokens in the KV cache.
	kv int
	// stopAt is the position after which the generation stops by itself, or -1.
	stopAt int
	// ended says that the generation has ended, so that the slot is free.
	ended  bool
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

// context returns the number of positions before generated position p.
func (s *stage) context(p int) int { return len(s.open.Prompt) + p }

// prefixes returns the prefix hashes of the complete blocks of the prompt.
func (s *stage) prefixes() []uint64 {
	return engine.PrefixHashes(s.open.Model, s.open.Version, s.open.Adapter, s.open.Prompt)
}

func (s *stage) event(kind engine.EventKind) engine.Event {
	return engine.Event{Kind: kind, RequestID: s.open.RequestID, Epoch: s.open.Epoch}
}

// fail ends the stage's stream with an error event that blames the stage with index
// blame.
func (s *stage) fail(blame int, message string) {
	event := s.event(engine.EventError)
	event.FailedStage = blame
	event.Message = message
	s.out.push(event)
	s.out.close()
}

// stopPosition returns the position that the prompt's "stop:<p>" piece gives, or -1.
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
