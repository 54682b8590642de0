package fleettest

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pgregory.net/rapid"
)

const (
	firstVMs     = 3
	maxVMs       = 6
	engineCount  = 6
	scriptTime   = 30 * time.Second
	maxTokens    = 60
	minArrivals  = 20
	maxArrivals  = 90
	maxOperators = 10
	maxIncidents = 6
	longestFault = 25 * time.Second
	raceWindow   = 20 * time.Millisecond
)

// arrival is one request of a script.
type arrival struct {
	at      time.Duration
	vm      int
	profile string
	// key is empty for a request without one; two arrivals may share one.
	key    string
	tokens int
	// gone is when the caller goes away, 0 for never.
	gone time.Duration
	// stubborn callers reach their VM even when the balancer holds it unready.
	stubborn bool
}

// operation is what one operator does.
type operation struct {
	at   time.Duration
	vm   int
	kind string
	name string
	// second is the VM that gets a copy of the same proposal, -1 for none.
	second int
}

// incident is one fault of a script.
type incident struct {
	at    time.Duration
	kind  string
	vm    int
	name  string
	fault serviceFault
	lasts time.Duration
}

type script struct {
	arrivals   []arrival
	operations []operation
	incidents  []incident
}

// draw leaves the counts to rapid, which shrinks them, and takes the rest from a
// plain generator: rapid prefers small numbers, and faults of a millisecond at the
// start of a run prove little.
func draw(t *rapid.T) script {
	seed := rapid.Uint64().Draw(t, "seed")
	d := drawer{rand.New(rand.NewPCG(seed, seed))}
	var s script
	// Half of the runs look at what VMs agree on, with faults of that alone.
	kinds := incidentKinds
	if d.oneIn(2) {
		kinds = controlKinds
	}
	for range rapid.IntRange(minArrivals, maxArrivals).Draw(t, "arrivals") {
		s.arrivals = append(s.arrivals, d.arrival())
	}
	for range rapid.IntRange(1, maxIncidents).Draw(t, "incidents") {
		s.incidents = append(s.incidents, d.incident(kinds, s.incidents))
	}
	for range rapid.IntRange(1, maxOperators).Draw(t, "operations") {
		s.operations = append(s.operations, d.operation(s))
	}
	return s
}

// drawer draws the parts of a script.
type drawer struct{ *rand.Rand }

func (d drawer) upTo(longest time.Duration) time.Duration {
	return time.Duration(d.Int64N(int64(longest)))
}

// oneIn is true once in n times.
func (d drawer) oneIn(n int) bool { return d.IntN(n) == 0 }

func (d drawer) of(names ...string) string { return names[d.IntN(len(names))] }

func (d drawer) engine() string { return fmt.Sprintf("e%d", d.IntN(engineCount)) }

func (d drawer) arrival() arrival {
	a := arrival{at: d.upTo(scriptTime), vm: d.IntN(maxVMs), tokens: 1 + d.IntN(maxTokens)}
	a.profile = d.of("draft", "draft", "check", "hold", "hold", "ask")
	if a.profile == "hold" && d.oneIn(2) {
		a.key = fmt.Sprintf("k%d", d.IntN(5))
	}
	if d.oneIn(10) {
		a.gone = d.upTo(300 * time.Millisecond)
	}
	a.stubborn = d.oneIn(4)
	return a
}

// operation races with the one before it or acts in the midst of an incident, half
// of the time each.
func (d drawer) operation(s script) operation {
	o := operation{at: d.upTo(scriptTime), vm: d.IntN(firstVMs + 1), second: -1}
	if midst := s.incidents[d.IntN(len(s.incidents))]; d.oneIn(2) {
		o.at = midst.at + d.upTo(midst.lasts)
	}
	o.kind = d.of("drain", "drain", "undrain", "undrain", "version", "version", "profile")
	switch o.kind {
	case "profile":
		o.name = d.of("draft", "check")
	case "version":
		o.name = d.engine()
	default:
		o.name = d.of(d.engine(), d.engine(), "s0", "s1")
	}
	if last := len(s.operations) - 1; last >= 0 && d.oneIn(2) {
		before := s.operations[last]
		o.at, o.kind, o.name = before.at+d.upTo(raceWindow), before.kind, before.name
	}
	if d.oneIn(4) {
		o.second = d.IntN(firstVMs + 1)
	}
	return o
}

// incident begins with the one before it, half of the time.
func (d drawer) incident(kinds []string, earlier []incident) incident {
	i := incident{at: d.upTo(scriptTime), lasts: d.upTo(longestFault), vm: d.IntN(firstVMs), name: d.engine()}
	i.kind = kinds[d.IntN(len(kinds))]
	switch i.kind {
	case "service":
		i.name, i.fault = d.of("s0", "s1"), serviceFault(d.IntN(int(serviceFaults)))
	case "join":
		i.vm = d.IntN(maxVMs)
	}
	if last := len(earlier) - 1; last >= 0 && d.oneIn(2) {
		i.at = earlier[last].at + d.upTo(time.Second)
	}
	return i
}

var controlKinds = []string{
	"store-refuse", "store-hang", "store-slow", "store-lose", "store-delay", "list-freeze", "list-lag",
	"halves", "halves", "cut-peers", "cut-store", "cut-both", "kill", "kill", "restart", "stop", "join", "join",
}

var incidentKinds = append([]string{
	"engine-die", "engine-silent", "engine-slow", "engine-mute", "service", "service",
}, controlKinds...)
