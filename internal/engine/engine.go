// Package engine is the system's view of model engines.
//
// A generation runs over one or more stages; each stage is one engine working on
// a range of layers. The router opens a stream to the engine of each stage and
// engines send activations to the next stage directly. The stream of the last
// stage yields tokens; those of the others yield only heartbeats and errors, so
// the router learns which stage failed without asking another one.
package engine

import (
	"context"
	"time"

	"geraniumcroft/internal/config"
)

// Client opens streams to engines and asks them for their state. It is safe for
// concurrent use. Addresses are IP:port.
type Client interface {
	// Open starts one stage of a generation and returns once the engine has taken
	// it. The error is an *OpenError.
	Open(ctx context.Context, address string, open StageOpen) (Stream, error)
	// Cancel ends a stage of a generation at an epoch or an older one.
	Cancel(ctx context.Context, address, requestID string, epoch uint32) error
	// Load returns the engine's load report.
	Load(ctx context.Context, address string) (LoadReport, error)
	// CacheEvents returns events with a sequence number above after.
	CacheEvents(ctx context.Context, address string, after uint64) (CacheEvents, error)
	// State reads back what the engine holds.
	State(ctx context.Context, address string) (State, error)
	// Order asks the engine to hold what the order says. The error is an *OrderError.
	Order(ctx context.Context, address string, order Order) error
}

// Stream is the router's end of one stage. Recv is called by one goroutine.
type Stream interface {
	// Recv returns the next event. It returns a *StreamError when the stream broke,
	// and when nothing, not even a heartbeat, arrived within the client's bound.
	Recv() (Event, error)
	// Close gives up the stream; the engine cancels the stage.
	Close()
}

// Hop is one stage as the engines need to know it.
type Hop struct {
	Target  string            `json:"target"`
	Address string            `json:"address"`
	Layers  config.LayerRange `json:"layers"`
}

// StageOpen starts one stage.
type StageOpen struct {
	RequestID string `json:"requestId"`
	// Epoch rises each time the request's stages change; engines drop what an older
	// epoch sends.
	Epoch   uint32 `json:"epoch"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter,omitempty"`
	// Priority is the engine's scheduling priority; higher goes first.
	Priority int `json:"priority"`
	// Hops are all stages in order; Index is the one opened here.
	Hops  []Hop `json:"hops"`
	Index int   `json:"index"`
	// Prompt is the whole prompt and Committed the tokens already given to the
	// caller; generation goes on at position len(Committed).
	Prompt    []string `json:"prompt"`
	Committed []string `json:"committed,omitempty"`
	MaxTokens int      `json:"maxTokens"`
	// KeepKV asks the engine to keep the request's KV cache for a while after a
	// cancel, so that a resume need not replay.
	KeepKV bool `json:"keepKV,omitempty"`
	// ImportKVFrom is the address of an engine that holds KV cache of this request
	// and these layers to import before starting; empty replays.
	ImportKVFrom string `json:"importKVFrom,omitempty"`
}

// EventKind says what an Event is.
type EventKind string

// The kinds of events of a stage's stream.
const (
	EventReady     EventKind = "ready"
	EventHeartbeat EventKind = "heartbeat"
	EventToken     EventKind = "token"
	EventDone      EventKind = "done"
	EventError     EventKind = "error"
)

// Event is one message of a stage's stream.
type Event struct {
	Kind EventKind `json:"kind"`
	// RequestID and Epoch name the generation that the event belongs to.
	RequestID string `json:"requestId"`
	Epoch     uint32 `json:"epoch"`
	// Position counts generated tokens from 0; for EventToken.
	Position int    `json:"position,omitempty"`
	Text     string `json:"text,omitempty"`
	// Trace lists the executions that made the token, in order; for EventToken.
	Trace []Execution `json:"trace,omitempty"`
	// Finish is "stop" or "length"; for EventDone.
	Finish string `json:"finish,omitempty"`
	// Blame is the index of the stage that an EventError is about; it need not be
	// the stage that reports it. Message says what happened.
	Blame   int    `json:"blame,omitempty"`
	Message string `json:"message,omitempty"`
	// ReusedKV counts the positions for which the engine had KV cache; for EventReady.
	ReusedKV int `json:"reusedKV,omitempty"`
}

// Execution is one stage's work on one token.
type Execution struct {
	Target string            `json:"target"`
	Epoch  uint32            `json:"epoch"`
	Layers config.LayerRange `json:"layers"`
}

// LoadReport is what an engine or service says of its load. It lags.
type LoadReport struct {
	// At is the target's clock when the report was made.
	At     time.Time `json:"at"`
	Active int       `json:"active"`
	Queued int       `json:"queued"`
	Slots  int       `json:"slots"`
	// TokensPerSecond is the target's present rate.
	TokensPerSecond float64 `json:"tokensPerSecond,omitempty"`
	// Leaving says that the target is about to go.
	Leaving bool `json:"leaving,omitempty"`
}

// CacheEvents is a part of an engine's log of cached prefixes.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	// Gap says that events between the asked one and the first were dropped.
	Gap bool `json:"gap,omitempty"`
}

// CacheEvent says that a prefix was cached or evicted.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Prefix uint64 `json:"prefix"`
	Evict  bool   `json:"evict,omitempty"`
}

// State is what an engine holds.
type State struct {
	Model    string            `json:"model"`
	Version  string            `json:"version"`
	Adapters []string          `json:"adapters"`
	Layers   config.LayerRange `json:"layers"`
	Role     string            `json:"role,omitempty"`
	// Active counts requests in hand, of every router.
	Active  int  `json:"active"`
	Loading bool `json:"loading,omitempty"`
	// Fencing is the highest fencing number seen; 0 from engines that ignore it.
	Fencing uint64 `json:"fencing,omitempty"`
}

// Order is a declarative order: the engine is to hold just this.
type Order struct {
	// ID is unique; a repeated order with the same ID has no further effect.
	ID string `json:"id"`
	// Fencing is the lease's fencing number.
	Fencing  uint64            `json:"fencing"`
	Model    string            `json:"model"`
	Version  string            `json:"version"`
	Adapters []string          `json:"adapters"`
	Layers   config.LayerRange `json:"layers"`
	Role     string            `json:"role,omitempty"`
}
