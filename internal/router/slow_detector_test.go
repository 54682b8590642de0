package router

import (
	"fmt"
	"testing"
	"time"

	"geraniumcroft/internal/config"
)

// gapTarget returns an engine with this name and kind of accelerator.
func gapTarget(name, accelerator string) *config.Target {
	return &config.Target{Name: name, Accelerator: accelerator, Kind: config.KindEngine}
}

// One of three engines responds ten times slower and fails no stream. Without detection its
// callers would wait for it forever. It must be detected once all of its last streams were
// slow. The engines of the other layers, which work with all three, have slow streams too,
// but also fast ones, and must not be reported.
func TestSlowEngineIsToldFromItsPartners(t *testing.T) {
	d := newSlowDetector()
	now := time.Unix(1000, 0)
	found := 0
	for stream := range 36 {
		first := gapTarget([]string{"slow", "b", "c"}[stream%3], "a100")
		partner := gapTarget([]string{"partner-1", "partner-2"}[stream%2], "h100")
		gap := 20 * time.Millisecond
		if first.Name == "slow" {
			gap = 200 * time.Millisecond
		}
		stages := []*config.Target{first, partner}
		d.add(stages, gap, now)
		for _, target := range stages {
			switch {
			case !d.isSlow(target, stages, now):
			case target.Name == "slow":
				found++
			default:
				t.Errorf("stream %d: %s is reported as slow", stream, target.Name)
			}
		}
	}
	if found == 0 {
		t.Error("the slow engine was not detected")
	}
}

// Plans may always combine the same engines. The slow one and its partner cannot be distinguished
// then, so both are reported as slow. After their next streams, with other partners, the
// good one must no longer be reported.
func TestSlowPairIsToldTogether(t *testing.T) {
	d := newSlowDetector()
	now := time.Unix(1000, 0)
	stream := func(gap time.Duration, first, second string) (isSlow []bool) {
		stages := []*config.Target{gapTarget(first, "a100"), gapTarget(second, "h100")}
		d.add(stages, gap, now)
		return []bool{d.isSlow(stages[0], stages, now), d.isSlow(stages[1], stages, now)}
	}
	var slow []bool
	for range slowWindow {
		stream(20*time.Millisecond, "a-2", "h-2")
		stream(20*time.Millisecond, "a-3", "h-3")
		slow = stream(200*time.Millisecond, "a-1", "h-1")
	}
	if !slow[0] || !slow[1] {
		t.Errorf("reported as slow: %v, want both", slow)
	}
	if slow = stream(20*time.Millisecond, "a-2", "h-1"); slow[1] {
		t.Error("the good engine of the pair is still reported as slow after a good stream")
	}
	if slow = stream(200*time.Millisecond, "a-1", "h-1"); !slow[0] || slow[1] {
		t.Errorf("reported as slow: %v, want only the first", slow)
	}
}

// All engines become slower under load, or one kind of engine is slower than another, or all
// streams of an engine wait for the same full partner. None of these engines is the cause, so
// none may be reported as slow: excluding targets would make it worse.
func TestLoadAndKindsMakeNoEngineSlow(t *testing.T) {
	d := newSlowDetector()
	now := time.Unix(1000, 0)
	wantNotSlow := func(gap time.Duration, names ...string) {
		var stages []*config.Target
		for _, name := range names {
			stages = append(stages, gapTarget(name, name[:1]))
		}
		d.add(stages, gap, now)
		for _, target := range stages {
			if d.isSlow(target, stages, now) {
				t.Errorf("%s is reported as slow at a gap of %s", target.Name, gap)
			}
		}
	}
	for round := range 20 {
		gap := time.Duration(round+1) * 20 * time.Millisecond
		wantNotSlow(gap, "a-1")
		wantNotSlow(gap, "a-2")
		wantNotSlow(10*gap, "small")
		wantNotSlow(10*gap, "a-3", "full")
	}
}

// A slow caller accepts one token per second, although the engine has the next token ready
// each time. The gap must not include the caller's time.
func TestGapExcludesCallerTime(t *testing.T) {
	m := &gapMeter{}
	now := time.Unix(1000, 0)
	for range 10 {
		now = now.Add(5 * time.Millisecond)
		m.tokenReceived(now)
		now = now.Add(time.Second)
		m.tokenAccepted(now)
	}
	if mean, known := m.mean(); !known || mean != 5*time.Millisecond {
		t.Errorf("mean %s, known %t", mean, known)
	}
	m.reset()
	if _, known := m.mean(); known {
		t.Error("a new placement starts with the gap of the old one")
	}
}

// Guards against groups of engines that are kept for good: those that were only asked about, and those
// whose engines have had no stream for long.
func TestGroupsWithoutStreamsAreDropped(t *testing.T) {
	d, now := newSlowDetector(), time.Now()
	for i := range 10 {
		gone := &config.Target{Name: "gone", Model: fmt.Sprint("model-", i)}
		for range slowWindow {
			d.add([]*config.Target{gone}, minSlowGap, now)
		}
		d.isSlow(&config.Target{Name: "asked", Model: fmt.Sprint("other-", i)}, nil, now)
	}
	if n := len(d.groups); n != 10 {
		t.Errorf("%d groups, want those with streams", n)
	}
	d.add([]*config.Target{{Name: "new", Model: "new"}}, minSlowGap, now.Add(gapTTL+time.Second))
	if n := len(d.groups); n != 1 {
		t.Errorf("%d groups, want the one with a recent stream", n)
	}
}
