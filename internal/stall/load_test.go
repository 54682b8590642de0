package stall

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	simMaxGap    = 250 * time.Millisecond
	simMeanGap   = 50 * time.Millisecond
	simStep      = 5 * time.Millisecond
	simCacheTime = 200 * time.Millisecond
	simStages    = 12
	// simReplicas is how many replicas serve each stage, simStreams how many streams the VM has.
	simReplicas = 3
	simStreams  = 8
)

// simStream is a simulated stream of the VM.
type simStream struct {
	Stream
	gaps      GapStats
	nextEvent time.Time
	// probed is how often the stages were probed since the last event.
	probed     int
	detectedAt time.Time
}

// simulation is one VM with its streams in virtual time, over replicas that stop or become slow.
type simulation struct {
	random  *rand.Rand
	now     time.Time
	streams []*simStream
	// stopped holds the probe result of each stopped replica, slow the factor by which a replica is
	// slower.
	stopped map[string]ProbeResult
	slow    map[string]float64
	budget  *ProbeBudget
	// cachedUntil is until when a replica's probe result is shared by all streams.
	cachedUntil map[string]time.Time

	probes, falsePositives int
}

func newSimulation(seed uint64) *simulation {
	p := &simulation{
		random: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1e9, 0), stopped: map[string]ProbeResult{}, slow: map[string]float64{},
		budget: NewProbeBudget(), cachedUntil: map[string]time.Time{},
	}
	for range simStreams {
		s := &simStream{Stream: Stream{LastEvent: p.now}}
		for stage := range simStages {
			s.Stages = append(s.Stages, Stage{Address: replicaAt(stage, p.random.IntN(simReplicas)), DataCentre: "north"})
		}
		p.streams = append(p.streams, s)
		p.schedule(s)
	}
	return p
}

func replicaAt(stage, replica int) string { return fmt.Sprint(stage, "-", replica) }

// schedule sets when a stream's next event arrives.
func (p *simulation) schedule(s *simStream) {
	slowdown := 1.0
	for _, stage := range s.Stages {
		slowdown += (max(1, p.slow[stage.Address]) - 1) / simStages
	}
	jitter := 0.8 + 0.4*p.random.Float64()
	s.nextEvent = p.now.Add(time.Duration(slowdown * jitter * float64(simMeanGap)))
}

func (p *simulation) stalled(s *simStream) bool {
	for _, stage := range s.Stages {
		if p.stopped[stage.Address] != ProbeUnknown {
			return true
		}
	}
	return false
}

func (p *simulation) run(duration time.Duration) {
	for end := p.now.Add(duration); p.now.Before(end); p.now = p.now.Add(simStep) {
		for _, s := range p.streams {
			if !p.stalled(s) && !p.now.Before(s.nextEvent) {
				s.gaps.Add(p.now.Sub(s.LastEvent))
				s.LastEvent, s.MeanGap, s.probed = p.now, s.gaps.Mean(), 0
				p.schedule(s)
			}
			p.checkStall(s)
		}
	}
}

// checkStall probes the stages of a stalled stream, up to twice in one stall.
func (p *simulation) checkStall(s *simStream) {
	elapsed := p.now.Sub(s.LastEvent)
	timeout := TimeoutsFor(simMaxGap, s.gaps).Probe
	if !s.detectedAt.IsZero() || s.probed >= 2 || elapsed < timeout+time.Duration(s.probed)*simMaxGap/2 {
		return
	}
	s.probed++
	var others []Stream
	for _, other := range p.streams {
		if other != s {
			others = append(others, other.Stream)
		}
	}
	suspicion := Suspects(s.Stream, others)
	var probed []ProbedStage
	for _, stage := range suspicion.Suspects {
		probed = append(probed, ProbedStage{Stage: stage, ProbeResult: p.probe(stage.Address)})
	}
	for _, stage := range StoppedStages(probed, suspicion.Passed) {
		if p.stopped[stage.Address] == ProbeUnknown {
			p.falsePositives++
			continue
		}
		s.detectedAt = p.now
	}
}

func (p *simulation) probe(address string) ProbeResult {
	if !p.now.Before(p.cachedUntil[address]) {
		if !p.budget.Take() {
			return ProbeUnknown
		}
		p.probes++
		p.cachedUntil[address] = p.now.Add(simCacheTime)
	}
	if probe := p.stopped[address]; probe != ProbeUnknown {
		return probe
	}
	return ProbeAccepted
}

// Guards against detecting a stopped stage only after callers have noticed the pause, and against
// reporting healthy stages as stopped.
func TestStoppedStagesAreFoundWithinTheAcceptedPause(t *testing.T) {
	const seeds = 50
	for name, c := range map[string]struct {
		stopped  map[string]ProbeResult
		slow     float64
		detected bool
	}{
		"one refuses":            {stopped: map[string]ProbeResult{replicaAt(3, 0): ProbeRefused}, detected: true},
		"one does not respond":   {stopped: map[string]ProbeResult{replicaAt(3, 0): ProbeTimedOut}, detected: true},
		"four stop together":     {stopped: map[string]ProbeResult{replicaAt(2, 0): ProbeTimedOut, replicaAt(5, 1): ProbeRefused, replicaAt(7, 2): ProbeTimedOut, replicaAt(9, 0): ProbeRefused}, detected: true},
		"a third becomes slow":   {slow: 12},
		"the data centre is cut": {stopped: allReplicas(ProbeTimedOut)},
		"nothing happens":        {},
	} {
		t.Run(name, func(t *testing.T) {
			stalled, detected := 0, 0
			for seed := range uint64(seeds) {
				p := newSimulation(seed)
				p.run(time.Second)
				before := p.probes
				p.stopped = c.stopped
				for stage := range simStages {
					p.slow[replicaAt(stage, 0)] = c.slow
				}
				p.run(3 * time.Second)
				for _, s := range p.streams {
					if !p.stalled(s) {
						continue
					}
					stalled++
					if !s.detectedAt.IsZero() && s.detectedAt.Sub(s.LastEvent) <= simMaxGap {
						detected++
					}
				}
				if p.falsePositives > 0 {
					t.Errorf("seed %d: %d healthy stages reported as stopped", seed, p.falsePositives)
				}
				if most := int(maxProbes); before > most || p.probes > most {
					t.Errorf("seed %d: %d probes", seed, p.probes)
				}
			}
			t.Logf("stopped stage detected in time by %d of %d stalled streams", detected, stalled)
			if c.detected && detected < stalled*9/10 {
				t.Errorf("stopped stage detected in time by only %d of %d stalled streams", detected, stalled)
			}
			if !c.detected && detected > 0 {
				t.Errorf("%d streams reported a stopped stage", detected)
			}
		})
	}
}

func allReplicas(result ProbeResult) map[string]ProbeResult {
	results := map[string]ProbeResult{}
	for stage := range simStages {
		for replica := range simReplicas {
			results[replicaAt(stage, replica)] = result
		}
	}
	return results
}
