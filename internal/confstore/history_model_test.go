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

// profileState is the state of the model: all revisions that were written, and the newest
// revision that was read on each VM.
type profileState struct {
	written []entry
	seen    string // one revision per VM, as text, so that states are comparable
}

// newest returns the newest revision.
func (s profileState) newest() entry { return s.written[len(s.written)-1] }

// find returns the first revision that matches.
func (s profileState) find(match func(entry) bool) (entry, bool) {
	i := slices.IndexFunc(s.written, match)
	if i < 0 {
		return entry{}, false
	}
	return s.written[i], true
}

// lastSeen returns the newest revision that was read on the VM.
func (s profileState) lastSeen(vm int) uint64 {
	var seen [checkedVMs]uint64
	_, _ = fmt.Sscan(s.seen, &seen[0], &seen[1], &seen[2])
	return seen[vm]
}

// withSeen returns the state after the revision was read on the VM.
func (s profileState) withSeen(vm int, revision uint64) profileState {
	var seen [checkedVMs]uint64
	_, _ = fmt.Sscan(s.seen, &seen[0], &seen[1], &seen[2])
	seen[vm] = max(seen[vm], revision)
	s.seen = fmt.Sprint(seen[0], seen[1], seen[2])
	return s
}

// withEntry returns the state after the revision was written.
func (s profileState) withEntry(e entry) profileState {
	s.written = append(slices.Clone(s.written), e)
	return s
}

// checkedVMs is the number of VMs in a checked run.
const checkedVMs = 3

// profileInput is a read of the profile on one VM, or a proposal through it.
type profileInput struct {
	vm         int
	propose    bool
	id         string
	ifRevision uint64
	value      int
	// atLeast is the minimum revision that a read must return, because the VM has just
	// reported it as written or as conflicting.
	atLeast uint64
}

// profileResult is the result of a read or a proposal.
type profileResult uint8

const (
	resultRead profileResult = iota
	resultWritten
	resultConflict
	resultNotWritten
	resultPending
)

// profileOutput is the result of an operation with its values.
type profileOutput struct {
	result profileResult
	// revision is the revision that was read or written, conflicts, or is pending.
	revision uint64
	value    int
}

// profileModel specifies what operators may observe. A proposal is a compare-and-set on the
// revision. A proposal with the same id is written once. A pending proposal may have been
// written or not. Reads on one VM return written values, in the order of revisions. A write
// may become visible on a VM as late as the response, which may be later than the time at
// which it took effect.
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

// stepProfile returns the possible states after the operation, none if the model does not
// permit its output.
func stepProfile(s profileState, in profileInput, out profileOutput) []any {
	switch out.result {
	case resultRead:
		read, ok := s.find(func(e entry) bool { return e.revision == out.revision })
		inOrder := out.revision >= s.lastSeen(in.vm) && out.revision >= in.atLeast
		if ok && inOrder && read.value == out.value {
			return []any{s.withSeen(in.vm, out.revision)}
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

// writeProfile returns the state after the proposal was written, none if it can't have
// been written.
func writeProfile(s profileState, in profileInput, out profileOutput) []any {
	if s.newest().revision != in.ifRevision || out.revision <= in.ifRevision {
		return nil
	}
	return []any{s.withEntry(entry{id: in.id, revision: out.revision, value: in.value})}
}
