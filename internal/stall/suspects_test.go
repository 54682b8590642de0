package stall

import (
	"slices"
	"testing"
	"time"
)

const pace = 50 * time.Millisecond

// streamOver is a stream whose last event came so long after the start.
func streamOver(start time.Time, last time.Duration, addresses ...string) Stream {
	s := Stream{LastEvent: start.Add(last), MeanGap: pace}
	for _, address := range addresses {
		s.Stages = append(s.Stages, Stage{Address: address, DataCentre: "north"})
	}
	return s
}

func addresses(stages []Stage) []string {
	var all []string
	for _, stage := range stages {
		all = append(all, stage.Address)
	}
	return all
}

func TestSuspectsAreTheStagesThatNobodyPassedSince(t *testing.T) {
	start := time.Unix(0, 0)
	stopped := streamOver(start, 0, "a", "b", "c")
	for name, c := range map[string]struct {
		others   []Stream
		suspects []string
	}{
		"no other stream":                    {nil, []string{"a", "b", "c"}},
		"one runs over two of the stages":    {[]Stream{streamOver(start, 3*pace, "a", "c", "d")}, []string{"b"}},
		"one stopped with it":                {[]Stream{streamOver(start, 0, "a", "b")}, []string{"a", "b", "c"}},
		"one event was on its way meanwhile": {[]Stream{streamOver(start, pace, "a", "b")}, []string{"a", "b", "c"}},
		"a slow one says less":               {[]Stream{{LastEvent: start.Add(3 * pace), MeanGap: 5 * pace, Stages: []Stage{{Address: "a"}}}}, []string{"a", "b", "c"}},
		"one without events says nothing":    {[]Stream{{LastEvent: start.Add(9 * pace), Stages: []Stage{{Address: "a"}}}}, []string{"a", "b", "c"}},
	} {
		got := Suspects(stopped, c.others)
		if !slices.Equal(addresses(got.Suspects), c.suspects) || len(got.Suspects)+len(got.Passed) != len(stopped.Stages) {
			t.Errorf("%s: %v", name, got)
		}
	}
}
