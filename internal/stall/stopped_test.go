package stall

import (
	"slices"
	"testing"
)

// Guards against healthy stages that are blamed when the way to them, or this VM, is at fault.
func TestSilenceCountsOnlyBesideAnswers(t *testing.T) {
	at := func(address, dataCentre string, answer ProbeResult) ProbedStage {
		return ProbedStage{Stage: Stage{Address: address, DataCentre: dataCentre}, ProbeResult: answer}
	}
	entry := func(answer ProbeResult) ProbedStage {
		return ProbedStage{Stage: Stage{Address: "entry", DataCentre: "north", Entry: true}, ProbeResult: answer}
	}
	for name, c := range map[string]struct {
		asked   []ProbedStage
		passed  []Stage
		stopped []string
	}{
		"one refuses":                     {[]ProbedStage{at("a", "north", ProbeAccepted), at("b", "north", ProbeRefused)}, nil, []string{"b"}},
		"all refuse":                      {[]ProbedStage{at("a", "north", ProbeRefused), at("b", "north", ProbeRefused)}, nil, []string{"a", "b"}},
		"one is silent beside three":      {[]ProbedStage{at("a", "north", ProbeAccepted), at("b", "north", ProbeTimedOut), at("c", "north", ProbeAccepted), at("d", "north", ProbeAccepted)}, nil, []string{"b"}},
		"one is silent beside passed":     {[]ProbedStage{at("a", "north", ProbeTimedOut)}, []Stage{north("b"), north("c"), north("d")}, []string{"a"}},
		"a data centre is cut off":        {[]ProbedStage{at("a", "north", ProbeAccepted), at("b", "south", ProbeTimedOut), at("c", "south", ProbeTimedOut)}, nil, nil},
		"half of them are silent":         {[]ProbedStage{at("a", "north", ProbeAccepted), at("b", "north", ProbeTimedOut)}, nil, nil},
		"a third of them are silent":      {[]ProbedStage{at("a", "north", ProbeAccepted), at("b", "north", ProbeTimedOut), at("c", "north", ProbeAccepted)}, nil, nil},
		"all are silent":                  {[]ProbedStage{at("a", "north", ProbeTimedOut)}, nil, nil},
		"the entry refuses":               {[]ProbedStage{entry(ProbeRefused)}, nil, []string{"entry"}},
		"the entry is silent":             {[]ProbedStage{entry(ProbeTimedOut)}, []Stage{north("a"), north("b"), north("c")}, nil},
		"the entry and one more":          {[]ProbedStage{entry(ProbeTimedOut), at("d", "north", ProbeTimedOut)}, []Stage{north("a"), north("b"), north("c")}, []string{"d"}},
		"all take connections":            {[]ProbedStage{at("a", "north", ProbeAccepted)}, nil, nil},
		"the questions were not answered": {[]ProbedStage{at("a", "north", ProbeUnknown)}, []Stage{north("b")}, nil},
	} {
		if got := StoppedStages(c.asked, c.passed); !slices.Equal(addresses(got), c.stopped) {
			t.Errorf("%s: %v", name, got)
		}
	}
}

func north(address string) Stage { return Stage{Address: address, DataCentre: "north"} }
