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

// errCircuitOpen is the cause of operations that fail without a request to the service.
var errCircuitOpen = errors.New("not asked, it failed a moment ago")

// circuit is the circuit breaker of one service. While it is open only its prober sends
// requests, so no caller's operation is used as a probe and runs into a timeout.
type circuit struct {
	breaker        *gobreaker.CircuitBreaker[struct{}]
	probe          func(ctx context.Context) error
	probeInterval  time.Duration
	probeTimeout   time.Duration
	attemptTimeout time.Duration
	counters       *counters

	mu      sync.Mutex // guards the fields below
	closed  bool       // set by close
	probers sync.WaitGroup
	stop    context.CancelFunc
	stopCtx context.Context
}

func newCircuit(name string, s Settings, counters *counters, probe func(context.Context) error) *circuit {
	c := &circuit{
		probe:          probe,
		probeInterval:  s.ProbeInterval,
		probeTimeout:   s.ProbeTimeout,
		attemptTimeout: s.AttemptTimeout,
		counters:       counters,
	}
	c.stopCtx, c.stop = context.WithCancel(context.Background())
	c.breaker = gobreaker.NewCircuitBreaker[struct{}](gobreaker.Settings{
		Name: name,
		// Shorter than the interval between probes, so that the breaker admits each probe.
		Timeout: s.ProbeInterval / 2,
		ReadyToTrip: func(counts gobreaker.Counts) bool {
			return counts.ConsecutiveFailures >= uint32(s.FailuresToOpen)
		},
		IsSuccessful:  serviceResponded,
		IsExcluded:    notServiceFailure,
		OnStateChange: c.stateChanged,
	})
	return c
}

// do runs one request to the service, or fails immediately while the circuit is open.
func (c *circuit) do(ctx context.Context, operation string, request func(context.Context) error) error {
	// The breaker alone would admit a caller's operation as a probe. An operation that
	// waited for the rate budget while the service failed would run into a full timeout.
	if !c.healthy() {
		return c.failFast(operation, errCircuitOpen)
	}
	err := c.execute(func() error { return c.runAttempt(ctx, request) })
	if errors.Is(err, gobreaker.ErrOpenState) || errors.Is(err, gobreaker.ErrTooManyRequests) {
		return c.failFast(operation, err)
	}
	var short *shortDeadlineError
	if errors.As(err, &short) {
		return short.cause
	}
	return err
}

// execute runs a request under the breaker, or without it after close: no probe would close the breaker.
func (c *circuit) execute(request func() error) error {
	if c.isClosed() {
		return request()
	}
	_, err := c.breaker.Execute(func() (struct{}, error) { return struct{}{}, request() })
	return err
}

// runAttempt runs the request within the attempt timeout. It marks the error of a caller
// whose own deadline or cancellation left the service less than minAttemptTime.
func (c *circuit) runAttempt(ctx context.Context, request func(context.Context) error) error {
	start := time.Now()
	attempt, cancel := context.WithTimeout(ctx, c.attemptTimeout)
	defer cancel()
	err := request(attempt)
	if err != nil && ctx.Err() != nil && time.Since(start) < minAttemptTime {
		return &shortDeadlineError{cause: err}
	}
	return err
}

func (c *circuit) failFast(operation string, cause error) error {
	c.counters.fastFailed.Add(1)
	return &platform.UnavailableError{Operation: operation, Cause: cause}
}

// healthy reports whether operations are sent to the service.
func (c *circuit) healthy() bool {
	return c.breaker.State() == gobreaker.StateClosed || c.isClosed()
}

func (c *circuit) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// stateChanged is called with the breaker's lock held, so it only starts the prober.
func (c *circuit) stateChanged(_ string, from, to gobreaker.State) {
	if from != gobreaker.StateClosed || to != gobreaker.StateOpen {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.probers.Go(c.probeUntilHealthy)
}

func (c *circuit) probeUntilHealthy() {
	for sleep.For(c.stopCtx, c.probeInterval) {
		if c.probeOnce() {
			return
		}
	}
}

// probeOnce sends one probe and reports whether the service has recovered.
func (c *circuit) probeOnce() bool {
	ctx, cancel := context.WithTimeout(c.stopCtx, c.probeTimeout)
	defer cancel()
	c.counters.probes.Add(1)
	_, err := c.breaker.Execute(func() (struct{}, error) { return struct{}{}, c.probe(ctx) })
	return serviceResponded(err)
}

func (c *circuit) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.stop()
	c.probers.Wait()
}

// serviceResponded reports whether the service responded, even if with a refusal.
func serviceResponded(err error) bool {
	return err == nil || errors.Is(err, platform.ErrRefused) || errors.Is(err, platform.ErrNotFound)
}

// minAttemptTime is the time that a service must have had for a request before the end of
// the caller's own deadline counts as a failure of the service.
const minAttemptTime = 200 * time.Millisecond

// notServiceFailure reports whether an error comes from the caller's own deadline or
// cancellation, which indicates nothing about the service.
func notServiceFailure(err error) bool {
	var short *shortDeadlineError
	return errors.As(err, &short) || errors.Is(err, context.Canceled)
}
