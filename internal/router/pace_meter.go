package router

import "time"

// paceMeter measures the mean time between tokens of one placement, without the
// time that the caller took to accept them. The goroutine that runs the generation
// uses it alone.
type paceMeter struct {
	waited   time.Duration
	tokens   int
	accepted time.Time
}

// begin forgets the placement before; the wait for a placement's first token,
// which holds the work on the prompt, does not count.
func (m *paceMeter) begin() { *m = paceMeter{} }

func (m *paceMeter) came(now time.Time) {
	if m.accepted.IsZero() {
		return
	}
	m.waited += now.Sub(m.accepted)
	m.tokens++
}

func (m *paceMeter) taken(now time.Time) { m.accepted = now }

// mean returns the mean once there are enough tokens to tell.
func (m *paceMeter) mean() (time.Duration, bool) {
	if m.tokens < paceTokens {
		return 0, false
	}
	return m.waited / time.Duration(m.tokens), true
}

// paceTokens is the least number of tokens that a pace is taken from.
const paceTokens = 4
