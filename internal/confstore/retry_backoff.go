package confstore

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"

	"geraniumcroft/internal/config"
)

const (
	initialRetryDelay = 5 * time.Millisecond
	maxRetryDelay     = 250 * time.Millisecond
	// maxRaceDelay is the maximum delay after a lost race. It spreads the retries over a
	// few round trips to the table. One proposal succeeds in each round. If the delay grew
	// with each lost race, the winners would always send their next proposal before the
	// losers retry.
	maxRaceDelay = 16 * time.Millisecond
)

// retryBackOff is the backoff of one proposal: short and uniformly distributed after a
// lost race, and exponential while an attempt is unresolved.
type retryBackOff struct {
	proposer    *proposer
	exponential *backoff.ExponentialBackOff
}

// newRetryBackOff returns the backoff of the proposal.
func newRetryBackOff(p *proposer) *retryBackOff {
	exponential := backoff.NewExponentialBackOff()
	exponential.InitialInterval = initialRetryDelay
	exponential.MaxInterval = maxRetryDelay
	return &retryBackOff{proposer: p, exponential: exponential}
}

// NextBackOff implements backoff.BackOff.
func (b *retryBackOff) NextBackOff() time.Duration {
	if b.proposer.unresolved == nil {
		return rand.N(maxRaceDelay)
	}
	return b.exponential.NextBackOff()
}

// Reset implements backoff.BackOff.
func (b *retryBackOff) Reset() { b.exponential.Reset() }

// retry retries the operation until it succeeds, returns a permanent error, or the
// context ends.
func (p *proposer) retry(ctx context.Context, operation func() (config.Change, error)) (config.Change, error) {
	return backoff.Retry(ctx, operation, backoff.WithBackOff(newRetryBackOff(p)), backoff.WithMaxElapsedTime(0))
}
