package platform

import (
	"slices"
	"testing"

	"go.uber.org/zap"
)

// Guards against work that is not done again because a return of the store was missed, or heard of twice.
func TestErasAreRaisedOnceEach(t *testing.T) {
	for name, c := range map[string]struct {
		observe func(e *Eras)
		raised  []uint64
	}{
		"the first era":                    {func(e *Eras) { e.Raise(3) }, nil},
		"one after another":                {func(e *Eras) { e.Raise(3); e.Raise(4); e.Raise(4); e.Raise(5) }, []uint64{4, 5}},
		"one was missed":                   {func(e *Eras) { e.Raise(3); e.Raise(5); e.Raise(4) }, []uint64{5}},
		"one is named first after answers": {func(e *Eras) { _, _ = e.Observe("", false); _, _ = e.Observe("1", true) }, []uint64{1}},
		"a faulty answer in between":       {func(e *Eras) { e.Raise(3); _, _ = e.Observe("", true); _, _ = e.Observe("4", true) }, []uint64{4}},
	} {
		t.Run(name, func(t *testing.T) {
			e := NewEras(zap.NewNop())
			var raised []uint64
			e.OnRaise(func(era uint64) { raised = append(raised, era) })
			c.observe(e)
			if !slices.Equal(raised, c.raised) {
				t.Errorf("raised %v, want %v", raised, c.raised)
			}
		})
	}
}
