package confstore

import (
	"fmt"
	"slices"

	"github.com/anishathalye/porcupine"
)

// entry is one written revision of the profile.
type entry struct {
	id       string
	revision uint64
	value    int
}

// profileState is what the model knows: all revisions that were written, and the
// newest one that each VM has shown.
type profileState struct {
	written []entry
	seen    string // one revision a VM, as text, so that states compare
}

func (s profileState) newest() entry { return s.written[len(s.written)-1] }

func (s profileState) find(match func(entry) bool) (entry, bool) {
	i := slices.IndexFunc(s.written, match)
	if i < 0 {
		return entry{}, false
	}
	return s.written[i], true
}

func (s profileState) seenBy(vm int) uint64 {
	var seen [checkedVMs]uint64
	_, _ = fmt.Sscan(s.seen, &seen[0], &seen[1], &seen[2])
	return seen[vm]
}

func (s profileState) see(vm int, revision uint64) profileState {
	var seen [checkedVMs]uint64
	_, _ = fmt.Sscan(s.seen, &seen[0], &seen[1], &seen[2])
	seen[vm] = max(seen[vm], revision)
	s.seen = fmt.Sprint(seen[0], seen[1], seen[2])
	return s
}

func (s profileState) write(e entry) profileState {
	s.written = append(slices.Clone(s.written), e)
	return s
}

// checkedVMs is how many VMs take part in a checked run.
const checkedVMs = 3

// profileInput is a read of the profile on one VM, or a proposal through it.
type profileInput struct {
	vm         int
	propose    bool
	id         string
	ifRevision uint64
	value      int
	// atLeast is the revision that a read has to show: the VM has just said that it
	// was written, or that it conflicts.
	atLeast uint64
}

// profileResult is how a proposal ended.
type profileResult uint8

const (
	resultRead profileResult = iota
	resultWritten
	resultConflict
	resultNotWritten
	resultPending
)

type profileOutput struct {
	result profileResult
	// revision is the one read, written, conflicting, or pending.
	revision uint64
	value    int
}

// profileModel says what operators may see: a proposal is a compare-and-set on the
// revision, the same id writes once, a pending one may have been written or not,
// and reads on one VM show written values and never go back. A VM shows a write
// from the answer on, which may be later than the write took effect.
func profileModel(created entry) porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{profileState{written: []entry{created}, seen: "0 0 0"}} },
		Step: func(state, input, output any) []any {
			return stepProfile(state.(profileState), input.(profileInput), output.(profileOutput))
		},
		Equal: func(a, b any) bool {
			x, y := a.(profileState), b.(profileState)
			return x.seen == y.seen && slices.Equal(x.written, y.written)
		},
	}
	return model.ToModel()
}

func stepProfile(s profileState, in profileInput, out profileOutput) []any {
	switch out.result {
	case resultRead:
		read, ok := s.find(func(e entry) bool { return e.revision == out.revision })
		inOrder := out.revision >= s.seenBy(in.vm) && out.revision >= in.atLeast
		if ok && inOrder && read.value == out.value {
			return []any{s.see(in.vm, out.revision)}
		}
	case resultWritten:
		known, ok := s.find(func(e entry) bool { return e.id == in.id })
		if ok && known.revision == out.revision {
			return []any{s}
		}
		if !ok {
			return writeProfile(s, in, out)
		}
	case resultConflict:
		if s.newest().revision == out.revision && out.revision != in.ifRevision {
			return []any{s}
		}
	case resultNotWritten:
		return []any{s}
	case resultPending:
		return append(writeProfile(s, in, out), s)
	}
	return nil
}

func writeProfile(s profileState, in profileInput, out profileOutput) []any {
	if s.newest().revision != in.ifRevision || out.revision <= in.ifRevision {
		return nil
	}
	return []any{s.write(entry{id: in.id, revision: out.revision, value: in.value})}
}
