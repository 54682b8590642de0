package stall

import (
	"slices"
	"testing"
)

// Guards against reporting healthy stages as stopped when the network to them, or this VM, is at
// fault.
func TestTimeoutCountsOnlyIfOtherStagesRespond(t *testing.T) {
	at := func(address, dataCentre string, result ProbeResult) ProbedStage {
		return ProbedStage{Stage: Stage{Address: address, DataCentre: dataCentre}, ProbeResult: result}
	}
	entry := func(result ProbeResult) ProbedStage {
		return ProbedStage{Stage: Stage{Address: "entry", DataCentre: "north", Entry: true}, ProbeResult: result}
	}
	for name, c := range map[string]struct {
		probed  []ProbedStage
		passed  []Stage
		stopped []string
	}{
		"one refuses":                    {[]ProbedStage{at("a", "north", ProbeAccepted), at("b", "north", ProbeRefused)}, nil, []string{"b"}},
		"all refuse":                     {[]ProbedStage{at("a", "north", ProbeRefused), at("b", "north", ProbeRefused)}, nil, []string{"a", "b"}},
		"one timeout, three respond":     {[]ProbedStage{at("a", "north", ProbeAccepted), at("b", "north", ProbeTimedOut), at("c", "north", ProbeAccepted), at("d", "north", ProbeAccepted)}, nil, []string{"b"}},
		"one timeout, three passed":      {[]ProbedStage{at("a", "north", ProbeTimedOut)}, []Stage{north("b"), north("c"), north("d")}, []string{"a"}},
		"a data centre is cut off":       {[]ProbedStage{at("a", "north", ProbeAccepted), at("b", "south", ProbeTimedOut), at("c", "south", ProbeTimedOut)}, nil, nil},
		"half of them time out":          {[]ProbedStage{at("a", "north", ProbeAccepted), at("b", "north", ProbeTimedOut)}, nil, nil},
		"a third of them time out":       {[]ProbedStage{at("a", "north", ProbeAccepted), at("b", "north", ProbeTimedOut), at("c", "north", ProbeAccepted)}, nil, nil},
		"all time out":                   {[]ProbedStage{at("a", "north", ProbeTimedOut)}, nil, nil},
		"the entry refuses":              {[]ProbedStage{entry(ProbeRefused)}, nil, []string{"entry"}},
		"the entry times out":            {[]ProbedStage{entry(ProbeTimedOut)}, []Stage{north("a"), north("b"), north("c")}, nil},
		"the entry and another time out": {[]ProbedStage{entry(ProbeTimedOut), at("d", "north", ProbeTimedOut)}, []Stage{north("a"), north("b"), north("c")}, []string{"d"}},
		"all accept connections":         {[]ProbedStage{at("a", "north", ProbeAccepted)}, nil, nil},
		"no probe has a result":          {[]ProbedStage{at("a", "north", ProbeUnknown)}, []Stage{north("b")}, nil},
	} {
		if got := StoppedStages(c.probed, c.passed); !slices.Equal(addresses(got), c.stopped) {
			t.Errorf("%s: %v", name, got)
		}
	}
}

func north(address string) Stage { return Stage{Address: address, DataCentre: "north"} }
