package confstore

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"

	"geraniumcroft/internal/config"
)

const (
	firstRetryWait = 5 * time.Millisecond
	longestWait    = 250 * time.Millisecond
	// longestRaceWait spreads the losers of a race over a few round trips to the
	// table. One writer wins each round, so waiting longer with each loss would only
	// let the winners come back first, again and again.
	longestRaceWait = 16 * time.Millisecond
)

// pacing is the backoff of one proposal: short and even after a lost race, and
// exponential while the table does not answer.
type pacing struct {
	writer      *writer
	exponential *backoff.ExponentialBackOff
}

func newPacing(w *writer) *pacing {
	exponential := backoff.NewExponentialBackOff()
	exponential.InitialInterval = firstRetryWait
	exponential.MaxInterval = longestWait
	return &pacing{writer: w, exponential: exponential}
}

// NextBackOff implements backoff.BackOff.
func (p *pacing) NextBackOff() time.Duration {
	if p.writer.undecided == nil {
		return rand.N(longestRaceWait)
	}
	return p.exponential.NextBackOff()
}

// Reset implements backoff.BackOff.
func (p *pacing) Reset() { p.exponential.Reset() }

func (w *writer) retry(ctx context.Context, operation func() (config.Change, error)) (config.Change, error) {
	return backoff.Retry(ctx, operation, backoff.WithBackOff(newPacing(w)), backoff.WithMaxElapsedTime(0))
}
