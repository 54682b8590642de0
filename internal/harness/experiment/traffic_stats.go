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

// trafficStats summarises the answers to one stream of requests. add is safe for concurrent
// use; the other methods are for the time after the last request.
type trafficStats struct {
	// first and whole are the times from the intended send time to the first token and to
	// the end of the answer, of complete requests.
	first, whole *distribution

	mu sync.Mutex // guards the fields below
	// complete, notRun and unknown count outcomes; noOutcome counts requests without one.
	complete, notRun, unknown, noOutcome int
	tokens                               int
	// took is the time from the start of the traffic to the end of the last request.
	took time.Duration
}

func newTrafficStats() *trafficStats {
	return &trafficStats{first: newDistribution(), whole: newDistribution()}
}

func (st *trafficStats) add(intended, sent time.Time, a callclient.Answer, err error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.tokens += len(a.Tokens)
	switch {
	case err != nil:
		st.noOutcome++
	case a.Outcome == outcomeComplete:
		st.complete++
		late := sent.Sub(intended)
		st.first.add(a.FirstToken + late)
		st.whole.add(a.Took + late)
	case a.Outcome == outcomeNotRun:
		st.notRun++
	default:
		st.unknown++
	}
}

// total returns the number of requests.
func (st *trafficStats) total() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.complete + st.notRun + st.unknown + st.noOutcome
}

// tokensPerSecond returns the token rate up to the end of the last request.
func (st *trafficStats) tokensPerSecond() float64 { return float64(st.tokens) / st.took.Seconds() }

// share returns the share of requests that are complete.
func (st *trafficStats) share() float64 { return float64(st.complete) / float64(max(1, st.total())) }
