package balance

import (
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/config"
)

// failUntilEjected makes a target fail until it is ejected.
func failUntilEjected(b *Balancer, name string) {
	for range DefaultEjectAfter {
		if s, err := b.Reserve(name, config.Urgent); err == nil {
			s.Release(ResultFailed)
		}
	}
}

// ejected returns the number of ejected targets.
func ejected(b *Balancer) (n int) {
	for _, target := range b.Dump().(Dump).Targets {
		if target.Reason == "ejected" {
			n++
		}
	}
	return n
}

// If all targets fail at once, for instance because this VM's own link is broken, only some of
// them are ejected, so requests still find targets.
func TestEjectionIsBounded(t *testing.T) {
	for faulty, want := range map[bool]int{false: 3, true: 10} {
		b := newBalancer(Settings{faults: faults{noEjectBound: faulty}}, services(10, 4))
		for name := range b.snapshot.Targets {
			failUntilEjected(b, name)
		}
		if got := ejected(b); got != want {
			t.Errorf("unbounded %t: %d of 10 targets ejected, want %d", faulty, got, want)
		}
	}
	b := newBalancer(Settings{}, services(1, 4))
	failUntilEjected(b, "t000")
	if got := ejected(b); got != 0 {
		t.Errorf("the only target was ejected")
	}
}

// A target that fails three times gets no requests. When its time is over one request probes
// it: a failure ejects it for longer, a success readmits it, and waiting requests are
// notified.
func TestEjectedTargetIsReadmittedByProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBalancer(Settings{}, services(2, 4))
		var freed atomic.Int64
		b.OnFree(func(string) { freed.Add(1) })
		failUntilEjected(b, "t000")
		if _, err := b.Reserve("t000", config.Bulk); !errors.Is(err, ErrNoCapacity) {
			t.Fatalf("reserve on the ejected target: %v", err)
		}
		before := freed.Load()
		time.Sleep(DefaultEjectFor)
		synctest.Wait()
		if freed.Load() == before {
			t.Error("OnFree was not called when the target became half-open")
		}
		probe, err := b.Pick(Query{Pool: "svc"})
		if err != nil || probe.Target().Name != "t000" {
			t.Fatalf("the bulk request did not probe: %v", err)
		}
		if _, err := b.Reserve("t000", config.Urgent); !errors.Is(err, ErrNoCapacity) {
			t.Errorf("reserve for a second probe: %v", err)
		}
		probe.Release(ResultSlow)
		time.Sleep(DefaultEjectFor)
		if _, err := b.Reserve("t000", config.Urgent); err == nil {
			t.Error("the second ejection was no longer than the first")
		}
		time.Sleep(DefaultEjectFor)
		synctest.Wait()
		if s, err := b.Reserve("t000", config.Urgent); err == nil {
			s.Release(ResultOK)
		}
		if got := len(pickAll(b, config.Urgent)); got != 8 {
			t.Errorf("%d slots after the target was readmitted, want 8", got)
		}
	})
}

// OnResult is called exactly once for each slot. The operators' counters depend on it.
func TestResultsAreToldOnce(t *testing.T) {
	var results []string
	settings := Settings{OnResult: func(target string, r Result) { results = append(results, fmt.Sprint(target, " ", r)) }}
	b := newBalancer(settings, services(1, 4))
	for _, r := range []Result{ResultOK, ResultFailed, ResultNeutral} {
		s, err := b.Reserve("t000", config.Urgent)
		if err != nil {
			t.Fatal(err)
		}
		s.Release(r)
		s.Release(ResultFailed)
	}
	if want := []string{"t000 1", "t000 2", "t000 0"}; !slices.Equal(results, want) {
		t.Errorf("results %v, want %v", results, want)
	}
}

// An instance of a service that answers ten times as slowly as the others is ejected like one
// that fails.
func TestSlowTargetIsEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBalancer(Settings{}, services(3, 4))
		for range 100 {
			s, err := b.Pick(Query{Pool: "svc", Urgency: config.Urgent})
			if err != nil {
				t.Fatal(err)
			}
			took := 10 * time.Millisecond
			if s.Target().Name == "t000" {
				took *= 10
			}
			time.Sleep(took)
			s.Release(ResultOK)
			if ejected(b) == 1 {
				return
			}
		}
		t.Error("the slow target was never ejected")
	})
}

// All instances answer within a few milliseconds, one of them in ten times the time of the
// others. This is noise and no fault: ejecting it would cost slots and save nothing.
func TestFastTargetIsNotEjectedAsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBalancer(Settings{}, services(3, 4))
		for range 300 {
			s, err := b.Pick(Query{Pool: "svc", Urgency: config.Urgent})
			if err != nil {
				t.Fatal(err)
			}
			took := time.Millisecond
			if s.Target().Name == "t000" {
				took *= 10
			}
			time.Sleep(took)
			s.Release(ResultOK)
		}
		if got := ejected(b); got != 0 {
			t.Errorf("%d targets were ejected", got)
		}
	})
}

// A half-open target competes with a healthy one in the local data centre. Urgent requests
// avoid the half-open target, and the first bulk request probes it, so that its health is
// known soon.
func TestBulkProbesAndUrgentDoesNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		snapshot := services(2, 4)
		snapshot.Targets["t001"].DataCentre = "here"
		b := newBalancer(Settings{}, snapshot)
		failUntilEjected(b, "t000")
		time.Sleep(DefaultEjectFor)
		synctest.Wait()
		for _, c := range []struct {
			urgency config.Urgency
			want    string
		}{{config.Urgent, "t001"}, {config.Bulk, "t000"}} {
			s, err := b.Pick(Query{Pool: "svc", Urgency: c.urgency, DataCentre: "here"})
			if err != nil || s.Target().Name != c.want {
				t.Fatalf("%s went to %v, %v, want %s", c.urgency, s, err, c.want)
			}
		}
	})
}
