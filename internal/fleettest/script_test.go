package fleettest

import (
	"fmt"
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

func draw(t *rapid.T) script {
	moment := rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(rapid.IntRange(0, int(scriptTime/time.Millisecond)).Draw(t, "ms")) * time.Millisecond
	})
	arrivals := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) arrival { return drawArrival(t, moment.Draw(t, "at")) }), minArrivals, maxArrivals)
	operations := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) operation { return drawOperation(t, moment.Draw(t, "at")) }), 1, maxOperators)
	incidents := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) incident { return drawIncident(t, moment.Draw(t, "at")) }), 1, maxIncidents)
	return script{arrivals.Draw(t, "arrivals"), operations.Draw(t, "operations"), incidents.Draw(t, "incidents")}
}

func drawArrival(t *rapid.T, at time.Duration) arrival {
	a := arrival{at: at, vm: rapid.IntRange(0, maxVMs-1).Draw(t, "vm"), tokens: rapid.IntRange(1, maxTokens).Draw(t, "tokens")}
	a.profile = rapid.SampledFrom([]string{"draft", "draft", "check", "hold", "hold", "ask"}).Draw(t, "profile")
	if a.profile == "hold" && rapid.Bool().Draw(t, "keyed") {
		a.key = fmt.Sprintf("k%d", rapid.IntRange(0, 4).Draw(t, "key"))
	}
	if rapid.IntRange(0, 9).Draw(t, "leaves") == 0 {
		a.gone = time.Duration(rapid.IntRange(1, 300).Draw(t, "after")) * time.Millisecond
	}
	a.stubborn = rapid.IntRange(0, 4).Draw(t, "stubborn") == 0
	return a
}

func drawOperation(t *rapid.T, at time.Duration) operation {
	o := operation{at: at, vm: rapid.IntRange(0, firstVMs).Draw(t, "vm"), second: -1}
	o.kind = rapid.SampledFrom([]string{"drain", "drain", "undrain", "undrain", "version", "version", "profile"}).Draw(t, "kind")
	engine := fmt.Sprintf("e%d", rapid.IntRange(0, engineCount-1).Draw(t, "engine"))
	switch o.kind {
	case "profile":
		o.name = rapid.SampledFrom([]string{"draft", "check"}).Draw(t, "changed")
	case "version":
		o.name = engine
	default:
		o.name = rapid.SampledFrom([]string{engine, engine, "s0", "s1"}).Draw(t, "target")
	}
	if rapid.IntRange(0, 3).Draw(t, "copied") == 0 {
		o.second = rapid.IntRange(0, firstVMs).Draw(t, "second")
	}
	return o
}

var incidentKinds = []string{
	"engine-die", "engine-silent", "engine-slow", "engine-mute", "service", "service",
	"store-refuse", "store-hang", "store-slow", "store-lose", "store-delay", "list-freeze", "list-lag",
	"halves", "cut-peers", "cut-store", "cut-both", "kill", "kill", "restart", "stop", "join", "join",
}

func drawIncident(t *rapid.T, at time.Duration) incident {
	i := incident{at: at, lasts: time.Duration(rapid.IntRange(1, 15000).Draw(t, "lasts")) * time.Millisecond}
	i.kind = rapid.SampledFrom(incidentKinds).Draw(t, "kind")
	i.vm = rapid.IntRange(0, maxVMs-1).Draw(t, "vm")
	i.name = fmt.Sprintf("e%d", rapid.IntRange(0, engineCount-1).Draw(t, "engine"))
	if i.kind == "service" {
		i.name = rapid.SampledFrom([]string{"s0", "s1"}).Draw(t, "instance")
		i.fault = serviceFault(rapid.IntRange(0, int(serviceFaults)-1).Draw(t, "fault"))
	}
	return i
}
