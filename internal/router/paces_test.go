package router

import (
	"testing"
	"time"

	"geraniumcroft/internal/config"
)

func paceTarget(name, accelerator string) *config.Target {
	return &config.Target{Name: name, Accelerator: accelerator, Kind: config.KindEngine}
}

// One engine of three answers ten times slower and fails nothing. Its callers would
// wait on it for good; once all of its last streams were slow it counts as failed.
// The engines of the other layers that work with all three have slow streams too,
// but not only, and are not blamed.
func TestSlowEngineIsToldFromItsPartners(t *testing.T) {
	p := newPaces()
	now := time.Unix(1000, 0)
	found := 0
	for stream := range 36 {
		first := paceTarget([]string{"slow", "b", "c"}[stream%3], "a100")
		partner := paceTarget([]string{"partner-1", "partner-2"}[stream%2], "h100")
		pace := 20 * time.Millisecond
		if first.Name == "slow" {
			pace = 200 * time.Millisecond
		}
		stages := []*config.Target{first, partner}
		p.add(stages, pace, now)
		for _, target := range stages {
			switch {
			case !p.slow(target, stages, now):
			case target.Name == "slow":
				found++
			default:
				t.Errorf("stream %d: %s is told slow", stream, target.Name)
			}
		}
	}
	if found == 0 {
		t.Error("the slow engine was not found")
	}
}

// Plans may pair engines for good. The slow one and its partner cannot be told apart
// then, so both count as failed, and their next streams, with other partners, clear
// the good one.
func TestSlowPairIsToldTogether(t *testing.T) {
	p := newPaces()
	now := time.Unix(1000, 0)
	stream := func(pace time.Duration, first, second string) (slow []bool) {
		stages := []*config.Target{paceTarget(first, "a100"), paceTarget(second, "h100")}
		p.add(stages, pace, now)
		return []bool{p.slow(stages[0], stages, now), p.slow(stages[1], stages, now)}
	}
	var told []bool
	for range paceWindow {
		stream(20*time.Millisecond, "a-2", "h-2")
		stream(20*time.Millisecond, "a-3", "h-3")
		told = stream(200*time.Millisecond, "a-1", "h-1")
	}
	if !told[0] || !told[1] {
		t.Errorf("told slow: %v, want both", told)
	}
	if told = stream(20*time.Millisecond, "a-2", "h-1"); told[1] {
		t.Error("the good one of the pair is still told slow after a good stream")
	}
	if told = stream(200*time.Millisecond, "a-1", "h-1"); !told[0] || told[1] {
		t.Errorf("told slow: %v, want the first alone", told)
	}
}

// All engines slow down under load, or one kind is slower than another, or one
// engine's streams all wait for the same full partner: that is no fault of these,
// and taking targets out would make it worse.
func TestLoadAndKindsMakeNoEngineSlow(t *testing.T) {
	p := newPaces()
	now := time.Unix(1000, 0)
	told := func(pace time.Duration, names ...string) {
		var stages []*config.Target
		for _, name := range names {
			stages = append(stages, paceTarget(name, name[:1]))
		}
		p.add(stages, pace, now)
		for _, target := range stages {
			if p.slow(target, stages, now) {
				t.Errorf("%s is told slow at a pace of %s", target.Name, pace)
			}
		}
	}
	for round := range 20 {
		pace := time.Duration(round+1) * 20 * time.Millisecond
		told(pace, "a-1")
		told(pace, "a-2")
		told(10*pace, "small")
		told(10*pace, "a-3", "full")
	}
}

// A slow caller accepts a token a second. The engine has the next one ready each
// time; its pace must not be the caller's.
func TestPaceLeavesTheCallersTimeOut(t *testing.T) {
	m := &paceMeter{}
	now := time.Unix(1000, 0)
	for range 10 {
		now = now.Add(5 * time.Millisecond)
		m.came(now)
		now = now.Add(time.Second)
		m.taken(now)
	}
	if mean, known := m.mean(); !known || mean != 5*time.Millisecond {
		t.Errorf("mean %s, known %t", mean, known)
	}
	m.begin()
	if _, known := m.mean(); known {
		t.Error("a new placement starts with the old one's pace")
	}
}
