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
	worldVMs     = 3
	worldTime    = 6 * time.Second
	minArrivals  = 12
	maxArrivals  = 60
	minIncidents = 2
	maxIncidents = 12
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
}

// incident is one fault of a script.
type incident struct {
	at    time.Duration
	kind  string
	who   string
	fault serviceFault
	lasts time.Duration
}

type script struct {
	arrivals  []arrival
	incidents []incident
}

func drawScript(t *rapid.T) script {
	moment := rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(rapid.IntRange(0, int(worldTime/time.Millisecond)).Draw(t, "ms")) * time.Millisecond
	})
	arrivals := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) arrival {
		a := arrival{at: moment.Draw(t, "at"), vm: rapid.IntRange(0, worldVMs-1).Draw(t, "vm"), tokens: rapid.IntRange(1, 60).Draw(t, "tokens")}
		a.profile = rapid.SampledFrom([]string{"draft", "draft", "check", "hold", "hold", "ask"}).Draw(t, "profile")
		if a.profile == "hold" && rapid.Bool().Draw(t, "keyed") {
			a.key = fmt.Sprintf("k%d", rapid.IntRange(0, 4).Draw(t, "key"))
		}
		if rapid.IntRange(0, 9).Draw(t, "leaves") == 0 {
			a.gone = time.Duration(rapid.IntRange(1, 300).Draw(t, "after")) * time.Millisecond
		}
		return a
	}), minArrivals, maxArrivals)
	incidents := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) incident {
		i := incident{at: moment.Draw(t, "at"), lasts: time.Duration(rapid.IntRange(1, 2000).Draw(t, "lasts")) * time.Millisecond}
		i.kind = rapid.SampledFrom([]string{"die", "die", "silent", "slow", "service", "service", "service", "outage", "lose", "drain"}).Draw(t, "kind")
		i.who = fmt.Sprintf("e%d", rapid.IntRange(0, 3).Draw(t, "engine"))
		if i.kind == "service" {
			i.who = rapid.SampledFrom([]string{"s0", "s1"}).Draw(t, "instance")
			i.fault = serviceFault(rapid.IntRange(0, int(serviceFaults)-1).Draw(t, "fault"))
		}
		return i
	}), minIncidents, maxIncidents)
	return script{arrivals.Draw(t, "arrivals"), incidents.Draw(t, "incidents")}
}

// told is what one arrival's caller was told.
type told struct {
	arrival
	body    string
	outcome outcome.Outcome
	tokens  []string
	late    time.Duration
}

// recordingSink keeps what the caller of a generation got.
type recordingSink struct{ tokens []string }

func (s *recordingSink) Token(position int, text string) error {
	if position != len(s.tokens) {
		return fmt.Errorf("token %d where %d is due", position, len(s.tokens))
	}
	s.tokens = append(s.tokens, text)
	return nil
}

// play runs the script in virtual time and returns what is wrong.
func play(s script, plant func(*world)) (problems []string, all []told) {
	w := newWorld(worldVMs)
	if plant != nil {
		plant(w)
	}
	var mu sync.Mutex
	var callers sync.WaitGroup
	for number, a := range s.arrivals {
		callers.Go(func() {
			got := w.request(number, a)
			mu.Lock()
			all = append(all, got)
			mu.Unlock()
		})
	}
	var faults sync.WaitGroup
	// A channel and not a mutex: virtual time goes on while one waits for it.
	states := make(chan struct{}, 1)
	for _, i := range s.incidents {
		faults.Go(func() { w.happen(i, states) })
	}
	callers.Wait()
	faults.Wait()
	time.Sleep(time.Minute)
	problems = w.judge(all)
	w.close()
	return problems, all
}

// request sends one arrival and waits for its one outcome.
func (w *world) request(number int, a arrival) told {
	time.Sleep(a.at)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if a.gone > 0 {
		timer := time.AfterFunc(a.gone, cancel)
		defer timer.Stop()
	}
	got := told{arrival: a, body: fmt.Sprintf("body %d", number)}
	if a.key != "" {
		got.body = "body of " + a.key
	}
	id := Metadata{
		RequestID: fmt.Sprintf("r%d", number), Profile: a.profile, IdempotencyKey: a.key, Arrival: time.Now(),
		BodyBytes: int64(len(got.body)), Digest: sha256.Sum256([]byte(got.body)),
	}
	vm := w.vms[a.vm]
	var err error
	if a.profile == "draft" || a.profile == "check" {
		sink := &recordingSink{}
		_, err = vm.Generate(ctx, GenerateRequest{Metadata: id, Prompt: []string{"a ", "b "}, MaxTokens: a.tokens}, sink)
		got.tokens = sink.tokens
	} else {
		_, err = vm.Call(ctx, CallRequest{Metadata: id, Body: []byte(got.body)})
	}
	got.outcome = outcome.Complete
	var failure *outcome.Failure
	if errors.As(err, &failure) {
		got.outcome = failure.Outcome
	}
	deadline := time.Duration(w.vms[0].ConfigSource.Current().Profiles[a.profile].Deadline)
	got.late = time.Since(id.Arrival) - deadline
	return got
}

// happen makes one incident happen and end.
func (w *world) happen(i incident, states chan struct{}) {
	time.Sleep(i.at)
	switch i.kind {
	case "die":
		w.engines[i.who].Die()
		time.Sleep(i.lasts)
		_ = w.engines[i.who].Revive()
	case "silent":
		w.engines[i.who].GoSilent()
	case "slow":
		w.engines[i.who].SetFaults(func(f *enginesim.Faults) { f.Slowdown = 20 })
		time.Sleep(i.lasts)
		w.engines[i.who].SetFaults(func(f *enginesim.Faults) { f.Slowdown = 1 })
	case "service":
		w.services.order(i.who, i.fault)
	case "outage":
		w.store.Faults.Set(platformsim.Order{Outage: platformsim.OutageUnavailable})
		time.Sleep(i.lasts)
		w.store.Faults.Set(platformsim.Order{})
	case "lose":
		w.store.Faults.Set(platformsim.Order{LoseAnswers: 2})
	case "drain":
		states <- struct{}{}
		defer func() { <-states }()
		w.setState(i.who, config.StateDraining, 300*time.Millisecond)
		time.Sleep(i.lasts)
		w.setState(i.who, config.StateActive, 300*time.Millisecond)
	}
}

// judge compares what callers were told with what ran.
func (w *world) judge(all []told) []string {
	var problems []string
	wrong := func(format string, args ...any) { problems = append(problems, fmt.Sprintf(format, args...)) }
	for _, violation := range w.violations.Report().Recent {
		wrong("invariant %s: %s", violation.Name, violation.Detail)
	}
	for _, got := range all {
		if got.late > 3*time.Second {
			wrong("%+v was answered %s after its deadline", got.arrival, got.late)
		}
		if got.profile == "draft" || got.profile == "check" {
			judgeTokens(got, wrong)
			continue
		}
		w.judgeCall(got, wrong)
	}
	for _, vm := range w.vms {
		if n := vm.InHand(); n != 0 {
			wrong("%d requests are still in hand on %s", n, vm.VM)
		}
		for name, n := range vm.balancer.InFlight() {
			wrong("%s still holds %d slots of %s", vm.VM, n, name)
		}
	}
	return problems
}

func judgeTokens(got told, wrong func(string, ...any)) {
	for position, text := range got.tokens {
		if text != enginesim.TokenText(position) {
			wrong("token %d is %q", position, text)
		}
	}
	switch {
	case got.outcome == outcome.Complete && len(got.tokens) != got.arrival.tokens:
		wrong("complete with %d of %d tokens", len(got.tokens), got.arrival.tokens)
	case got.outcome == outcome.NotRun && len(got.tokens) != 0:
		wrong("not-run with %d tokens", len(got.tokens))
	}
}

func (w *world) judgeCall(got told, wrong func(string, ...any)) {
	ran := w.services.timesRun(got.body)
	repeatable := got.profile == "ask"
	switch {
	case !repeatable && ran > 1:
		wrong("%+v ran %d times", got.arrival, ran)
	case got.outcome == outcome.NotRun && ran > 0:
		wrong("%+v was told as not run and ran %d times", got.arrival, ran)
	case got.outcome == outcome.Complete && ran == 0:
		wrong("%+v was told as complete and never ran", got.arrival)
	}
}

// Three routers before the same engines, services and store, with callers that
// come and go, copies of keyed requests at different routers, and engines,
// services and the store failing at any moment, together or twice. What each
// caller was told is compared with what ran, and no invariant may be violated.
func TestRandomRunsTellTheTruth(t *testing.T) {
	counts := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScript(rt)
		var problems []string
		var all []told
		synctest.Test(t, func(*testing.T) { problems, all = play(s, nil) })
		for _, problem := range problems {
			rt.Error(problem)
		}
		for _, got := range all {
			counts[got.profile+" "+got.outcome.String()]++
		}
	})
	t.Log("callers were told: ", counts)
	for _, wanted := range []string{"draft complete", "check complete", "hold complete", "hold unknown", "ask complete"} {
		if counts[wanted] == 0 {
			t.Errorf("no run had a caller with %q: the runs prove little", wanted)
		}
	}
}

// The oracle of the randomised runs must object when a safeguard is missing.
func TestRandomRunsCatchPlantedFaults(t *testing.T) {
	rows := []struct {
		missing string
		plant   func(*world)
	}{
		{"a connection that never sends twice", func(w *world) { w.services.sendsTwice = true }},
		{"a claim that another router can read", func(w *world) {
			for _, vm := range w.vms {
				vm.Claims = claim.New(platformsim.NewStore(), vm.VM, claim.Settings{}, w.violations)
			}
		}},
		{"a service that declares truthfully", func(w *world) { w.services.forgets = true }},
	}
	for _, row := range rows {
		t.Run(row.missing, func(t *testing.T) {
			caught := false
			for seed := 0; seed < 40 && !caught; seed++ {
				s := rapid.Custom(drawScript).Example(seed)
				synctest.Test(t, func(*testing.T) {
					problems, _ := play(s, row.plant)
					caught = len(problems) > 0
				})
			}
			if !caught {
				t.Error("40 runs without the safeguard, and nothing was found wrong")
			}
		})
	}
}
