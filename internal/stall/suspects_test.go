package stall

import (
	"slices"
	"testing"
	"time"
)

const meanGap = 50 * time.Millisecond

// streamOver returns a stream over the given stages whose last event arrived that long after start.
func streamOver(start time.Time, last time.Duration, addresses ...string) Stream {
	s := Stream{LastEvent: start.Add(last), MeanGap: meanGap}
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

func TestSuspectsExcludeStagesPassedByOtherStreams(t *testing.T) {
	start := time.Unix(0, 0)
	stalled := streamOver(start, 0, "a", "b", "c")
	for name, c := range map[string]struct {
		others   []Stream
		suspects []string
	}{
		"no other stream":                   {nil, []string{"a", "b", "c"}},
		"one runs over two of the stages":   {[]Stream{streamOver(start, 3*meanGap, "a", "c", "d")}, []string{"b"}},
		"one stalled together with it":      {[]Stream{streamOver(start, 0, "a", "b")}, []string{"a", "b", "c"}},
		"one event was already under way":   {[]Stream{streamOver(start, meanGap, "a", "b")}, []string{"a", "b", "c"}},
		"a slow one proves less":            {[]Stream{{LastEvent: start.Add(3 * meanGap), MeanGap: 5 * meanGap, Stages: []Stage{{Address: "a"}}}}, []string{"a", "b", "c"}},
		"one without events proves nothing": {[]Stream{{LastEvent: start.Add(9 * meanGap), Stages: []Stage{{Address: "a"}}}}, []string{"a", "b", "c"}},
	} {
		got := Suspects(stalled, c.others)
		if !slices.Equal(addresses(got.Suspects), c.suspects) || len(got.Suspects)+len(got.Passed) != len(stalled.Stages) {
			t.Errorf("%s: %v", name, got)
		}
	}
}
