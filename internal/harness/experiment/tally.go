package experiment

import (
	"sync"
	"time"

	"geraniumcroft/internal/harness/callclient"
)

const (
	outcomeComplete = "complete"
	outcomeNotRun   = "not-run"
)

// tally is what the callers of one stream of requests got.
type tally struct {
	// first and whole run from the intended moment of sending, of what is complete.
	first, whole *distribution

	mu sync.Mutex // guards the fields below
	// complete, notRun and unknown count outcomes; lost counts requests without one.
	complete, notRun, unknown, lost int
	tokens                          int
	// took is the time from the first arrival to the last end.
	took time.Duration
}

func newTally() *tally { return &tally{first: newDistribution(), whole: newDistribution()} }

func (y *tally) add(intended, sent time.Time, a callclient.Answer, err error) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.tokens += len(a.Tokens)
	switch {
	case err != nil:
		y.lost++
	case a.Outcome == outcomeComplete:
		y.complete++
		late := sent.Sub(intended)
		y.first.add(a.FirstToken + late)
		y.whole.add(a.Took + late)
	case a.Outcome == outcomeNotRun:
		y.notRun++
	default:
		y.unknown++
	}
}

func (y *tally) total() int {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.complete + y.notRun + y.unknown + y.lost
}

// tokensPerSecond counts to the end of the last request.
func (y *tally) tokensPerSecond() float64 { return float64(y.tokens) / y.took.Seconds() }

// share returns the part of all requests that is complete.
func (y *tally) share() float64 { return float64(y.complete) / float64(max(1, y.total())) }
