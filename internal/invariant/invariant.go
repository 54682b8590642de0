// Package invariant counts and reports violations of the program's invariants.
//
// The checks are always enabled. A violation means that a caller got or would get a
// wrong result or outcome, and no later error would show it. A violation is counted,
// kept for the dump and passed to the registry's handler, which logs it in production
// and panics in tests.
package invariant

// Name identifies an invariant.
type Name string

// The invariants that the program checks.
const (
	OneOutcome             Name = "one-outcome-per-request"
	OneDispatch            Name = "one-dispatch-of-non-idempotent"
	NoDispatchAfterOutcome Name = "no-dispatch-after-outcome"
	LayersOnceInOrder      Name = "layers-once-and-in-order"
	NoTokenGapOrRepeat     Name = "no-token-gap-or-repeat"
	VersionNeverFalls      Name = "config-version-never-falls"
	NoDispatchAfterDrain   Name = "no-dispatch-after-drain-bound"
	NoOrderWithoutLease    Name = "no-order-without-lease"
	AnswerMatchesRequest   Name = "answer-to-its-own-request"
	SlotsNotNegative       Name = "slots-never-negative"
	FencingNeverFalls      Name = "fencing-number-never-falls"
)

// All lists every invariant, for the dump and the metrics.
var All = []Name{
	OneOutcome, OneDispatch, NoDispatchAfterOutcome, LayersOnceInOrder, NoTokenGapOrRepeat,
	VersionNeverFalls, NoDispatchAfterDrain, NoOrderWithoutLease, AnswerMatchesRequest, SlotsNotNegative,
	FencingNeverFalls,
}
