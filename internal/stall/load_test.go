package stall

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	playedGap   = 250 * time.Millisecond
	playedPace  = 50 * time.Millisecond
	playedStep  = 5 * time.Millisecond
	playedKept  = 200 * time.Millisecond
	playedSpans = 12
	// playedHolders is how many cards hold each span, and playedStreams how many streams a VM has.
	playedHolders = 3
	playedStreams = 8
)

// playedStream is a stream of the VM that is played.
type playedStream struct {
	Stream
	pace    GapStats
	next    time.Time
	asked   int
	foundAt time.Time
}

// stallPlay is one VM with its streams in virtual time, before cards that stop or turn slow.
type stallPlay struct {
	random  *rand.Rand
	now     time.Time
	streams []*playedStream
	// stopped cards answer as said; cards that slow is set for are that many times slower.
	stopped map[string]ProbeResult
	slow    map[string]float64
	budget  *ProbeBudget
	// kept says until when the answer of a card holds for all streams.
	kept map[string]time.Time

	questions, falseAlarms int
}

func newStallPlay(seed uint64) *stallPlay {
	p := &stallPlay{
		random: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1e9, 0), stopped: map[string]ProbeResult{}, slow: map[string]float64{},
		budget: NewProbeBudget(), kept: map[string]time.Time{},
	}
	for range playedStreams {
		s := &playedStream{Stream: Stream{LastEvent: p.now}}
		for span := range playedSpans {
			s.Stages = append(s.Stages, Stage{Address: cardAt(span, p.random.IntN(playedHolders)), DataCentre: "north"})
		}
		p.streams = append(p.streams, s)
		p.plan(s)
	}
	return p
}

func cardAt(span, holder int) string { return fmt.Sprint(span, "-", holder) }

// plan sets when a stream's next event comes.
func (p *stallPlay) plan(s *playedStream) {
	times := 1.0
	for _, stage := range s.Stages {
		times += (max(1, p.slow[stage.Address]) - 1) / playedSpans
	}
	jitter := 0.8 + 0.4*p.random.Float64()
	s.next = p.now.Add(time.Duration(times * jitter * float64(playedPace)))
}

func (p *stallPlay) stands(s *playedStream) bool {
	for _, stage := range s.Stages {
		if p.stopped[stage.Address] != ProbeUnknown {
			return true
		}
	}
	return false
}

func (p *stallPlay) run(lasting time.Duration) {
	for end := p.now.Add(lasting); p.now.Before(end); p.now = p.now.Add(playedStep) {
		for _, s := range p.streams {
			if !p.stands(s) && !p.now.Before(s.next) {
				s.pace.Add(p.now.Sub(s.LastEvent))
				s.LastEvent, s.MeanGap, s.asked = p.now, s.pace.Mean(), 0
				p.plan(s)
			}
			p.look(s)
		}
	}
}

// look asks the stages of a stream that stands still, twice a pause.
func (p *stallPlay) look(s *playedStream) {
	stood := p.now.Sub(s.LastEvent)
	ask := TimeoutsFor(playedGap, s.pace).Probe
	if !s.foundAt.IsZero() || s.asked >= 2 || stood < ask+time.Duration(s.asked)*playedGap/2 {
		return
	}
	s.asked++
	var others []Stream
	for _, other := range p.streams {
		if other != s {
			others = append(others, other.Stream)
		}
	}
	suspicion := Suspects(s.Stream, others)
	var asked []ProbedStage
	for _, stage := range suspicion.Suspects {
		asked = append(asked, ProbedStage{Stage: stage, ProbeResult: p.answer(stage.Address)})
	}
	for _, stage := range StoppedStages(asked, suspicion.Passed) {
		if p.stopped[stage.Address] == ProbeUnknown {
			p.falseAlarms++
			continue
		}
		s.foundAt = p.now
	}
}

func (p *stallPlay) answer(address string) ProbeResult {
	if !p.now.Before(p.kept[address]) {
		if !p.budget.Take() {
			return ProbeUnknown
		}
		p.questions++
		p.kept[address] = p.now.Add(playedKept)
	}
	if answer := p.stopped[address]; answer != ProbeUnknown {
		return answer
	}
	return ProbeAccepted
}

// Guards against streams that learn of a stopped stage only when callers have noticed the pause,
// and against healthy stages that are blamed for it.
func TestStoppedStagesAreFoundWithinTheAcceptedPause(t *testing.T) {
	const seeds = 50
	for name, c := range map[string]struct {
		stopped map[string]ProbeResult
		slow    float64
		found   bool
	}{
		"one refuses":            {stopped: map[string]ProbeResult{cardAt(3, 0): ProbeRefused}, found: true},
		"one is silent":          {stopped: map[string]ProbeResult{cardAt(3, 0): ProbeTimedOut}, found: true},
		"four stop together":     {stopped: map[string]ProbeResult{cardAt(2, 0): ProbeTimedOut, cardAt(5, 1): ProbeRefused, cardAt(7, 2): ProbeTimedOut, cardAt(9, 0): ProbeRefused}, found: true},
		"a third turns slow":     {slow: 12},
		"the data centre is cut": {stopped: everyCard(ProbeTimedOut)},
		"nothing happens":        {},
	} {
		t.Run(name, func(t *testing.T) {
			stands, found := 0, 0
			for seed := range uint64(seeds) {
				p := newStallPlay(seed)
				p.run(time.Second)
				before := p.questions
				p.stopped = c.stopped
				for span := range playedSpans {
					p.slow[cardAt(span, 0)] = c.slow
				}
				p.run(3 * time.Second)
				for _, s := range p.streams {
					if !p.stands(s) {
						continue
					}
					stands++
					if !s.foundAt.IsZero() && s.foundAt.Sub(s.LastEvent) <= playedGap {
						found++
					}
				}
				if p.falseAlarms > 0 {
					t.Errorf("seed %d: %d healthy stages were blamed", seed, p.falseAlarms)
				}
				if most := int(maxQuestions); before > most || p.questions > most {
					t.Errorf("seed %d: %d questions", seed, p.questions)
				}
			}
			t.Logf("%d of %d streams that stood still knew why in time", found, stands)
			if c.found && found < stands*9/10 {
				t.Errorf("%d of %d streams that stood still knew why in time", found, stands)
			}
			if !c.found && found > 0 {
				t.Errorf("%d streams blamed a stage", found)
			}
		})
	}
}

func everyCard(answer ProbeResult) map[string]ProbeResult {
	cards := map[string]ProbeResult{}
	for span := range playedSpans {
		for holder := range playedHolders {
			cards[cardAt(span, holder)] = answer
		}
	}
	return cards
}
