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
	// key is the idempotency key, empty for none. Arrivals may share a key.
	key    string
	tokens int
	// disconnectAfter is the time after which the caller disconnects, 0 for never.
	disconnectAfter time.Duration
	// pinned requests are sent to their VM even if it is not ready.
	pinned bool
}

// operation is one configuration change by an operator.
type operation struct {
	at   time.Duration
	vm   int
	kind string
	name string
	// second is the VM that also gets a copy of the proposal, -1 for none.
	second int
}

// incident is one fault of a script.
type incident struct {
	at       time.Duration
	kind     string
	vm       int
	name     string
	fault    serviceFault
	duration time.Duration
}

// script holds all events of one run.
type script struct {
	arrivals   []arrival
	operations []operation
	incidents  []incident
}

// draw generates a script. Only the seed and the counts are drawn by rapid, which can
// shrink them; the rest comes from an ordinary random generator. Rapid prefers small
// numbers, and faults that last a millisecond at the start of a run test little.
func draw(t *rapid.T) script {
	seed := rapid.Uint64().Draw(t, "seed")
	d := generator{rand.New(rand.NewPCG(seed, seed))}
	var s script
	// Half of the runs have control-path faults only, to test the agreement of VMs.
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

// generator generates the parts of a script.
type generator struct{ *rand.Rand }

func (d generator) upTo(longest time.Duration) time.Duration {
	return time.Duration(d.Int64N(int64(longest)))
}

// oneIn returns true with probability 1/n.
func (d generator) oneIn(n int) bool { return d.IntN(n) == 0 }

func (d generator) pick(names ...string) string { return names[d.IntN(len(names))] }

func (d generator) engine() string { return fmt.Sprintf("e%d", d.IntN(engineCount)) }

func (d generator) arrival() arrival {
	a := arrival{at: d.upTo(scriptTime), vm: d.IntN(maxVMs), tokens: 1 + d.IntN(maxTokens)}
	a.profile = d.pick("draft", "draft", "check", "hold", "hold", "ask")
	if a.profile == "hold" && d.oneIn(2) {
		a.key = fmt.Sprintf("k%d", d.IntN(5))
	}
	if d.oneIn(10) {
		a.disconnectAfter = d.upTo(300 * time.Millisecond)
	}
	a.pinned = d.oneIn(4)
	return a
}

// operation generates an operation. With probability 1/2 it races with the previous
// operation, and otherwise with probability 1/2 it takes place during an incident.
func (d generator) operation(s script) operation {
	o := operation{at: d.upTo(scriptTime), vm: d.IntN(firstVMs + 1), second: -1}
	if during := s.incidents[d.IntN(len(s.incidents))]; d.oneIn(2) {
		o.at = during.at + d.upTo(during.duration)
	}
	o.kind = d.pick("drain", "drain", "undrain", "undrain", "version", "version", "profile")
	switch o.kind {
	case "profile":
		o.name = d.pick("draft", "check")
	case "version":
		o.name = d.engine()
	default:
		o.name = d.pick(d.engine(), d.engine(), "s0", "s1")
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

// incident generates an incident. With probability 1/2 it begins within a second of
// the previous one.
func (d generator) incident(kinds []string, earlier []incident) incident {
	i := incident{at: d.upTo(scriptTime), duration: d.upTo(longestFault), vm: d.IntN(firstVMs), name: d.engine()}
	i.kind = kinds[d.IntN(len(kinds))]
	switch i.kind {
	case "service":
		i.name, i.fault = d.pick("s0", "s1"), serviceFault(d.IntN(int(serviceFaultCount)))
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
