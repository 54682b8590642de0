package stall

import (
	"slices"
	"testing"
)

// Guards against healthy stages that are blamed when the way to them, or this VM, is at fault.
func TestSilenceCountsOnlyBesideAnswers(t *testing.T) {
	at := func(address, dataCentre string, answer Answer) Asked {
		return Asked{Stage: Stage{Address: address, DataCentre: dataCentre}, Answer: answer}
	}
	entry := func(answer Answer) Asked {
		return Asked{Stage: Stage{Address: "entry", DataCentre: "north", Entry: true}, Answer: answer}
	}
	for name, c := range map[string]struct {
		asked   []Asked
		passed  []Stage
		stopped []string
	}{
		"one refuses":                     {[]Asked{at("a", "north", AnswerTaken), at("b", "north", AnswerRefused)}, nil, []string{"b"}},
		"all refuse":                      {[]Asked{at("a", "north", AnswerRefused), at("b", "north", AnswerRefused)}, nil, []string{"a", "b"}},
		"one is silent beside three":      {[]Asked{at("a", "north", AnswerTaken), at("b", "north", AnswerSilent), at("c", "north", AnswerTaken), at("d", "north", AnswerTaken)}, nil, []string{"b"}},
		"one is silent beside passed":     {[]Asked{at("a", "north", AnswerSilent)}, []Stage{north("b"), north("c"), north("d")}, []string{"a"}},
		"a data centre is cut off":        {[]Asked{at("a", "north", AnswerTaken), at("b", "south", AnswerSilent), at("c", "south", AnswerSilent)}, nil, nil},
		"half of them are silent":         {[]Asked{at("a", "north", AnswerTaken), at("b", "north", AnswerSilent)}, nil, nil},
		"a third of them are silent":      {[]Asked{at("a", "north", AnswerTaken), at("b", "north", AnswerSilent), at("c", "north", AnswerTaken)}, nil, nil},
		"all are silent":                  {[]Asked{at("a", "north", AnswerSilent)}, nil, nil},
		"the entry refuses":               {[]Asked{entry(AnswerRefused)}, nil, []string{"entry"}},
		"the entry is silent":             {[]Asked{entry(AnswerSilent)}, []Stage{north("a"), north("b"), north("c")}, nil},
		"the entry and one more":          {[]Asked{entry(AnswerSilent), at("d", "north", AnswerSilent)}, []Stage{north("a"), north("b"), north("c")}, []string{"d"}},
		"all take connections":            {[]Asked{at("a", "north", AnswerTaken)}, nil, nil},
		"the questions were not answered": {[]Asked{at("a", "north", AnswerUnknown)}, []Stage{north("b")}, nil},
	} {
		if got := Stopped(c.asked, c.passed); !slices.Equal(addresses(got), c.stopped) {
			t.Errorf("%s: %v", name, got)
		}
	}
}

func north(address string) Stage { return Stage{Address: address, DataCentre: "north"} }
