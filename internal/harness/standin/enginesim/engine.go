package enginesim

import (
	"context"
	"net/http"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/harness/standin/faultnet"
)

// The maximum numbers of requests of which an engine keeps state.
const (
	// maxEarly is the number of requests that may have activations here before their
	// stage is open.
	maxEarly       = 4096
	maxKeptKV      = 4096
	maxKnownEpochs = 1 << 16
)

// Engine is a simulated engine. It is safe for concurrent use.
type Engine struct {
	options Options
	fabric  *Fabric
	wake    chan struct{}
	stop    chan struct{}
	stopped sync.Once

	mu       sync.Mutex // guards the fields below
	address  string
	listener *faultnet.Listener
	server   *http.Server
	dead     bool
	held     engine.State
	loadedAt time.Time
	orderID  string
	fencing  uint64
	stages   map[string]*stage
	active   int
	changed  chan struct{} // closed when active changes; nil without waiters
	// minEpochs holds, by request, the lowest epoch that is still accepted.
	minEpochs *lru.Cache[string, uint32]
	early     *lru.Cache[string, []*activation]
	kv        *lru.Cache[string, keptKV]
	cache     *prefixCache
	loads     *loadLog
	sched     scheduler
	faults    Faults
	counts    Counts

	executed []*Executed
}

// New returns an engine that is not reachable until Start or Attach.
func New(o Options) *Engine {
	o = o.withDefaults()
	e := &Engine{
		options: o,
		fabric:  o.Fabric,
		wake:    make(chan struct{}, 1),
		stop:    make(chan struct{}),
		held: engine.State{
			Model:    o.Model.Name,
			Version:  o.Version,
			Adapters: o.Adapters,
			Layers:   o.Layers,
			Role:     o.Role,
		},
		faults: Faults{Slowdown: 1, LoadLag: config.Duration(o.LoadLag), IgnoresFencing: o.IgnoresFencing},
		loads:  &loadLog{},
	}
	e.resetState()
	go e.run()
	return e
}

// resetState discards all state that a process keeps in memory. The caller must hold
// the lock, unless it is New.
func (e *Engine) resetState() {
	e.stages = map[string]*stage{}
	e.active = 0
	e.minEpochs, _ = lru.New[string, uint32](maxKnownEpochs)
	e.early, _ = lru.New[string, []*activation](maxEarly)
	e.kv, _ = lru.New[string, keptKV](maxKeptKV)
	e.cache = newPrefixCache(e.options.CacheBlocks)
	e.sched = scheduler{}
}

// Name returns the target's name.
func (e *Engine) Name() string { return e.options.Name }

// Addr returns the address that the engine listens on, as IP:port.
func (e *Engine) Addr() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.address
}

// Target returns a configuration entry that describes the engine.
func (e *Engine) Target() *config.Target {
	e.mu.Lock()
	defer e.mu.Unlock()
	return &config.Target{
		Name:                 e.options.Name,
		Address:              e.address,
		Kind:                 config.KindEngine,
		State:                config.StateActive,
		Model:                e.held.Model,
		Version:              e.held.Version,
		Adapters:             e.held.Adapters,
		Layers:               e.held.Layers,
		Slots:                e.options.Slots,
		LayerTokensPerSecond: e.options.LayerTokensPerSecond,
		RefusesOldFencing:    !e.faults.IgnoresFencing,
	}
}

// Executed returns what the engine executed, oldest first. Only the last maxExecuted
// records are kept.
func (e *Engine) Executed() []Executed {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]Executed, len(e.executed))
	for i, x := range e.executed {
		list[i] = *x
	}
	return list
}

// Counts returns the engine's counters.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// Active returns the number of slots in use.
func (e *Engine) Active() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.active
}

// AwaitActive waits until the number of slots in use equals active.
func (e *Engine) AwaitActive(ctx context.Context, active int) error {
	for {
		e.mu.Lock()
		if e.active == active {
			e.mu.Unlock()
			return nil
		}
		if e.changed == nil {
			e.changed = make(chan struct{})
		}
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// activeChanged wakes the callers of AwaitActive. The caller must hold the lock.
func (e *Engine) activeChanged() {
	if e.changed != nil {
		close(e.changed)
		e.changed = nil
	}
}

// signal wakes the accelerator's goroutine. It does not block.
func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
