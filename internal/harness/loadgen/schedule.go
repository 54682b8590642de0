package loadgen

import (
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// randomStream is the second word of the PCG seed. It gives the schedule random numbers
// that are independent of those of other users of the same seed.
const randomStream = 0x6c6f6164

// Schedule generates the arrivals of a run. The same options give the same arrivals. It
// is not safe for concurrent use.
type Schedule struct {
	options    *Options
	gaps       distuv.Exponential
	mix        distuv.Categorical
	workspaces *rand.Zipf
	prompts    []lengthSampler
	outputs    []lengthSampler
	number     int
	at         time.Duration
}

// NewSchedule returns the schedule of a run, at its first arrival.
func NewSchedule(o *Options) *Schedule {
	random := rand.New(rand.NewPCG(o.Seed, randomStream))
	s := &Schedule{
		options:    o,
		gaps:       distuv.Exponential{Rate: o.Rate, Src: random},
		workspaces: rand.NewZipf(random, o.Skew, 1, uint64(o.Workspaces-1)),
	}
	var shares []float64
	for _, p := range o.Profiles {
		shares = append(shares, p.Share)
		s.prompts = append(s.prompts, newLengthSampler(p.PromptTokens, random))
		s.outputs = append(s.outputs, newLengthSampler(p.MaxTokens, random))
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
		PromptTokens: s.prompts[mix].sample(),
		MaxTokens:    s.outputs[mix].sample(),
	}
	s.number++
	return a, true
}
