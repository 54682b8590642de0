package router

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"geraniumcroft/internal/claim"
	"geraniumcroft/internal/config"
	"geraniumcroft/internal/harness/standin/enginesim"
	"geraniumcroft/internal/harness/standin/platformsim"
	"geraniumcroft/internal/outcome"
)

const (
	fleetVMs     = 3
	scenarioTime = 6 * time.Second
	minArrivals  = 12
	maxArrivals  = 60
	minIncidents = 2
	maxIncidents = 12
)

// arrival is one request of a scenario.
type arrival struct {
	at      time.Duration
	vm      int
	profile string
	// key is the idempotency key, empty for a request without one. Two arrivals may have the
	// same key.
	key    string
	tokens int
	// cancelAfter is the time after which the caller cancels the request, 0 for never.
	cancelAfter time.Duration
}

// incident is one fault of a scenario.
type incident struct {
	at       time.Duration
	kind     string
	target   string
	fault    serviceFault
	duration time.Duration
}

// scenario is one randomised run, drawn before the run.
type scenario struct {
	arrivals  []arrival
	incidents []incident
}

func drawScenario(t *rapid.T) scenario {
	moment := rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(rapid.IntRange(0, int(scenarioTime/time.Millisecond)).Draw(t, "ms")) * time.Millisecond
	})
	arrivals := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) arrival {
		a := arrival{at: moment.Draw(t, "at"), vm: rapid.IntRange(0, fleetVMs-1).Draw(t, "vm"), tokens: rapid.IntRange(1, 60).Draw(t, "tokens")}
		a.profile = rapid.SampledFrom([]string{"draft", "draft", "check", "hold", "hold", "ask"}).Draw(t, "profile")
		if a.profile == "hold" && rapid.Bool().Draw(t, "keyed") {
			a.key = fmt.Sprintf("k%d", rapid.IntRange(0, 4).Draw(t, "key"))
		}
		if rapid.IntRange(0, 9).Draw(t, "leaves") == 0 {
			a.cancelAfter = time.Duration(rapid.IntRange(1, 300).Draw(t, "after")) * time.Millisecond
		}
		return a
	}), minArrivals, maxArrivals)
	incidents := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) incident {
		i := incident{at: moment.Draw(t, "at"), duration: time.Duration(rapid.IntRange(1, 2000).Draw(t, "lasts")) * time.Millisecond}
		i.kind = rapid.SampledFrom([]string{"die", "die", "silent", "slow", "service", "service", "service", "outage", "lose", "drain"}).Draw(t, "kind")
		i.target = fmt.Sprintf("e%d", rapid.IntRange(0, 3).Draw(t, "engine"))
		if i.kind == "service" {
			i.target = rapid.SampledFrom([]string{"s0", "s1"}).Draw(t, "instance")
			i.fault = serviceFault(rapid.IntRange(0, int(serviceFaults)-1).Draw(t, "fault"))
		}
		return i
	}), minIncidents, maxIncidents)
	return scenario{arrivals.Draw(t, "arrivals"), incidents.Draw(t, "incidents")}
}

// callerResult is what the caller of one arrival got.
type callerResult struct {
	arrival
	body    string
	outcome outcome.Outcome
	tokens  []string
	overrun time.Duration
}

// recordingSink records the tokens that the caller of a generation got.
type recordingSink struct{ tokens []string }

func (s *recordingSink) Token(position int, text string) error {
	if position != len(s.tokens) {
		return fmt.Errorf("token %d where %d is due", position, len(s.tokens))
	}
	s.tokens = append(s.tokens, text)
	return nil
}

// runScenario runs the scenario in virtual time. It returns the problems found and what the
// callers got. prepare, if not nil, changes the fleet before the run.
func runScenario(s scenario, prepare func(*fleet)) (problems []string, all []callerResult) {
	f := newFleet(fleetVMs)
	if prepare != nil {
		prepare(f)
	}
	var mu sync.Mutex
	var callers sync.WaitGroup
	for number, a := range s.arrivals {
		callers.Go(func() {
			got := f.request(number, a)
			mu.Lock()
			all = append(all, got)
			mu.Unlock()
		})
	}
	var faults sync.WaitGroup
	// A channel instead of a mutex, because virtual time advances while a goroutine waits on
	// a channel.
	states := make(chan struct{}, 1)
	for _, i := range s.incidents {
		faults.Go(func() { f.inject(i, states) })
	}
	callers.Wait()
	faults.Wait()
	time.Sleep(time.Minute)
	problems = f.check(all)
	f.close()
	return problems, all
}

// request sends the request of one arrival and waits for its outcome.
func (f *fleet) request(number int, a arrival) callerResult {
	time.Sleep(a.at)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if a.cancelAfter > 0 {
		timer := time.AfterFunc(a.cancelAfter, cancel)
		defer timer.Stop()
	}
	got := callerResult{arrival: a, body: fmt.Sprintf("body %d", number)}
	if a.key != "" {
		got.body = "body of " + a.key
	}
	meta := Metadata{
		RequestID: fmt.Sprintf("r%d", number), Profile: a.profile, IdempotencyKey: a.key, Arrival: time.Now(),
		BodyBytes: int64(len(got.body)), Digest: sha256.Sum256([]byte(got.body)),
	}
	vm := f.vms[a.vm]
	var err error
	if a.profile == "draft" || a.profile == "check" {
		sink := &recordingSink{}
		_, err = vm.Generate(ctx, GenerateRequest{Metadata: meta, Prompt: []string{"a ", "b "}, MaxTokens: a.tokens}, sink)
		got.tokens = sink.tokens
	} else {
		_, err = vm.Call(ctx, CallRequest{Metadata: meta, Body: []byte(got.body)})
	}
	got.outcome = outcome.Complete
	var failure *outcome.Failure
	if errors.As(err, &failure) {
		got.outcome = failure.Outcome
	}
	deadline := time.Duration(f.vms[0].ConfigSource.Current().Profiles[a.profile].Deadline)
	got.overrun = time.Since(meta.Arrival) - deadline
	return got
}

// inject causes one incident, and ends it after its duration if its kind has one.
func (f *fleet) inject(i incident, states chan struct{}) {
	time.Sleep(i.at)
	switch i.kind {
	case "die":
		f.engines[i.target].Die()
		time.Sleep(i.duration)
		_ = f.engines[i.target].Revive()
	case "silent":
		f.engines[i.target].GoSilent()
	case "slow":
		f.engines[i.target].SetFaults(func(faults *enginesim.Faults) { faults.Slowdown = 20 })
		time.Sleep(i.duration)
		f.engines[i.target].SetFaults(func(faults *enginesim.Faults) { faults.Slowdown = 1 })
	case "service":
		f.services.injectFault(i.target, i.fault)
	case "outage":
		f.store.Faults.Set(platformsim.Order{Outage: platformsim.OutageUnavailable})
		time.Sleep(i.duration)
		f.store.Faults.Set(platformsim.Order{})
	case "lose":
		f.store.Faults.Set(platformsim.Order{LoseAnswers: 2})
	case "drain":
		states <- struct{}{}
		defer func() { <-states }()
		f.setState(i.target, config.StateDraining, 300*time.Millisecond)
		time.Sleep(i.duration)
		f.setState(i.target, config.StateActive, 300*time.Millisecond)
	}
}

// check compares what callers got with what ran, and returns the problems.
func (f *fleet) check(all []callerResult) []string {
	var problems []string
	report := func(format string, args ...any) { problems = append(problems, fmt.Sprintf(format, args...)) }
	for _, violation := range f.violations.Report().Recent {
		report("invariant %s: %s", violation.Name, violation.Detail)
	}
	for _, got := range all {
		if got.overrun > 3*time.Second {
			report("%+v ended %s after its deadline", got.arrival, got.overrun)
		}
		if got.profile == "draft" || got.profile == "check" {
			checkTokens(got, report)
			continue
		}
		f.checkCall(got, report)
	}
	for _, vm := range f.vms {
		if n := vm.InHand(); n != 0 {
			report("%d requests are still in progress on %s", n, vm.VM)
		}
		for name, n := range vm.balancer.InFlight() {
			report("%s has not released %d slots of %s", vm.VM, n, name)
		}
	}
	return problems
}

// checkTokens checks the tokens of a generation against its outcome.
func checkTokens(got callerResult, report func(string, ...any)) {
	for position, text := range got.tokens {
		if text != enginesim.TokenText(position) {
			report("token %d is %q", position, text)
		}
	}
	switch {
	case got.outcome == outcome.Complete && len(got.tokens) != got.arrival.tokens:
		report("complete with %d of %d tokens", len(got.tokens), got.arrival.tokens)
	case got.outcome == outcome.NotRun && len(got.tokens) != 0:
		report("not-run with %d tokens", len(got.tokens))
	}
}

// checkCall checks how often a call ran against its outcome.
func (f *fleet) checkCall(got callerResult, report func(string, ...any)) {
	ran := f.services.timesRun(got.body)
	idempotent := got.profile == "ask"
	switch {
	case !idempotent && ran > 1:
		report("%+v ran %d times", got.arrival, ran)
	case got.outcome == outcome.NotRun && ran > 0:
		report("%+v has the outcome not-run, but ran %d times", got.arrival, ran)
	case got.outcome == outcome.Complete && ran == 0:
		report("%+v has the outcome complete, but never ran", got.arrival)
	}
}

// Three routers share engines, services and a store. Callers send requests and cancel some,
// requests with the same idempotency key arrive at different routers, and engines, services
// and the store fail at random times, some of them at the same time or repeatedly. What each
// caller got must match what ran, and no invariant may be violated.
func TestRandomRunsTellTheTruth(t *testing.T) {
	counts := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		var problems []string
		var all []callerResult
		synctest.Test(t, func(*testing.T) { problems, all = runScenario(s, nil) })
		for _, problem := range problems {
			rt.Error(problem)
		}
		for _, got := range all {
			counts[got.profile+" "+got.outcome.String()]++
		}
	})
	t.Log("outcomes: ", counts)
	for _, wanted := range []string{"draft complete", "check complete", "hold complete", "hold unknown", "ask complete"} {
		if counts[wanted] == 0 {
			t.Errorf("no request had the outcome %q, so the runs did not cover it", wanted)
		}
	}
}

// The checks of the randomised runs must find a problem when a safeguard is missing.
func TestRandomRunsCatchPlantedFaults(t *testing.T) {
	rows := []struct {
		safeguard string
		remove    func(*fleet)
	}{
		{"a connection that never sends twice", func(f *fleet) { f.services.sendsTwice = true }},
		{"a claim that another router can read", func(f *fleet) {
			for _, vm := range f.vms {
				vm.Claims = claim.New(platformsim.NewStore(), vm.VM, claim.Settings{}, f.violations)
			}
		}},
		{"a service that declares truthfully", func(f *fleet) { f.services.falseNotRun = true }},
	}
	for _, row := range rows {
		t.Run(row.safeguard, func(t *testing.T) {
			caught := false
			for seed := 0; seed < 40 && !caught; seed++ {
				s := rapid.Custom(drawScenario).Example(seed)
				synctest.Test(t, func(*testing.T) {
					problems, _ := runScenario(s, row.remove)
					caught = len(problems) > 0
				})
			}
			if !caught {
				t.Error("40 runs without the safeguard found no problem")
			}
		})
	}
}
