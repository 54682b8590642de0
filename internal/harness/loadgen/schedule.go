package loadgen

import (
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// seedStream tells this package's random numbers from others with the same seed.
const seedStream = 0x6c6f6164

// Schedule draws arrivals; the same options give the same ones.
type Schedule struct {
	options    *Options
	gaps       distuv.Exponential
	mix        distuv.Categorical
	workspaces *rand.Zipf
	prompts    []lengths
	outputs    []lengths
	number     int
	at         time.Duration
}

// NewSchedule returns the schedule of a run.
func NewSchedule(o *Options) *Schedule {
	random := rand.New(rand.NewPCG(o.Seed, seedStream))
	s := &Schedule{
		options:    o,
		gaps:       distuv.Exponential{Rate: o.Rate, Src: random},
		workspaces: rand.NewZipf(random, o.Skew, 1, uint64(o.Workspaces-1)),
	}
	var shares []float64
	for _, p := range o.Profiles {
		shares = append(shares, p.Share)
		s.prompts = append(s.prompts, newLengths(p.PromptTokens, random))
		s.outputs = append(s.outputs, newLengths(p.MaxTokens, random))
	}
	s.mix = distuv.NewCategorical(shares, random)
	return s
}

// Next returns the next arrival, or false at the end of the run.
func (s *Schedule) Next() (Arrival, bool) {
	o := s.options
	s.at += time.Duration(s.gaps.Rand() * float64(time.Second))
	if o.Count > 0 && s.number >= o.Count || o.Duration > 0 && s.at >= o.Duration {
		return Arrival{}, false
	}
	mix := int(s.mix.Rand())
	a := Arrival{
		Number:       s.number,
		At:           s.at,
		ProfileIndex: mix,
		Profile:      o.Profiles[mix].nameFor(int(s.workspaces.Uint64())),
		Router:       o.Routers[s.number%len(o.Routers)],
		PromptTokens: s.prompts[mix].draw(),
		MaxTokens:    s.outputs[mix].draw(),
	}
	s.number++
	return a, true
}
