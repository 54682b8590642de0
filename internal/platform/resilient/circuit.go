package resilient

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sony/gobreaker/v2"

	"geraniumcroft/internal/platform"
	"geraniumcroft/internal/sleep"
)

// errDown is the cause of operations refused without asking the service.
var errDown = errors.New("not asked, it failed a moment ago")

// circuit stops asking a service that is down. Only its prober asks a service
// whose circuit is open, so no caller's operation serves as the probe and pays a
// timeout for it.
type circuit struct {
	breaker  *gobreaker.CircuitBreaker[struct{}]
	probe    func(ctx context.Context) error
	interval time.Duration
	timeout  time.Duration
	attempt  time.Duration
	counters *counters

	mu      sync.Mutex // guards the fields below
	closed  bool
	probing sync.WaitGroup
	stop    context.CancelFunc
	stopCtx context.Context
}

func newCircuit(name string, s Settings, counters *counters, probe func(context.Context) error) *circuit {
	c := &circuit{
		probe:    probe,
		interval: s.ProbeInterval,
		timeout:  s.ProbeTimeout,
		attempt:  s.AttemptTimeout,
		counters: counters,
	}
	c.stopCtx, c.stop = context.WithCancel(context.Background())
	c.breaker = gobreaker.NewCircuitBreaker[struct{}](gobreaker.Settings{
		Name: name,
		// Shorter than the prober's pause, so that the breaker lets each probe through.
		Timeout: s.ProbeInterval / 2,
		ReadyToTrip: func(counts gobreaker.Counts) bool {
			return counts.ConsecutiveFailures >= uint32(s.FailuresToOpen)
		},
		IsSuccessful:  serviceAnswered,
		IsExcluded:    callerGone,
		OnStateChange: c.stateChanged,
	})
	return c
}

// do runs one request to the service, or fails at once while it is down.
func (c *circuit) do(ctx context.Context, operation string, request func(context.Context) error) error {
	// The breaker itself would let a caller through as a probe. One that waited for
	// the rate budget while the service went down would pay a whole timeout.
	if !c.healthy() {
		return c.refuse(operation, errDown)
	}
	_, err := c.breaker.Execute(func() (struct{}, error) {
		return struct{}{}, c.ask(ctx, request)
	})
	if errors.Is(err, gobreaker.ErrOpenState) || errors.Is(err, gobreaker.ErrTooManyRequests) {
		return c.refuse(operation, err)
	}
	var impatient *impatientError
	if errors.As(err, &impatient) {
		return impatient.cause
	}
	return err
}

func (c *circuit) ask(ctx context.Context, request func(context.Context) error) error {
	start := time.Now()
	attempt, cancel := context.WithTimeout(ctx, c.attempt)
	defer cancel()
	err := request(attempt)
	if err != nil && ctx.Err() != nil && time.Since(start) < fairChance {
		return &impatientError{cause: err}
	}
	return err
}

func (c *circuit) refuse(operation string, cause error) error {
	c.counters.fastFailed.Add(1)
	return &platform.UnavailableError{Operation: operation, Cause: cause}
}

func (c *circuit) healthy() bool { return c.breaker.State() == gobreaker.StateClosed }

// stateChanged runs under the breaker's lock, so it only starts the prober.
func (c *circuit) stateChanged(_ string, from, to gobreaker.State) {
	if from != gobreaker.StateClosed || to != gobreaker.StateOpen {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.probing.Go(c.probeUntilHealthy)
}

func (c *circuit) probeUntilHealthy() {
	for sleep.For(c.stopCtx, c.interval) {
		if c.probeOnce() {
			return
		}
	}
}

// probeOnce reports whether the service is up again.
func (c *circuit) probeOnce() bool {
	ctx, cancel := context.WithTimeout(c.stopCtx, c.timeout)
	defer cancel()
	c.counters.probes.Add(1)
	_, err := c.breaker.Execute(func() (struct{}, error) { return struct{}{}, c.probe(ctx) })
	return err == nil
}

func (c *circuit) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.stop()
	c.probing.Wait()
}

// serviceAnswered says that the service is up, whatever it answered.
func serviceAnswered(err error) bool {
	return err == nil || errors.Is(err, platform.ErrRefused) || errors.Is(err, platform.ErrNotFound)
}

// fairChance is how long a service must have had before a caller whose own time ran
// out counts against it.
const fairChance = 200 * time.Millisecond

// callerGone leaves out what says nothing about the service.
func callerGone(err error) bool {
	var impatient *impatientError
	return errors.As(err, &impatient) || errors.Is(err, context.Canceled)
}
