package platformsim

import "time"

// ActionKind is what happens to one operation.
type ActionKind uint8

// The kinds of action.
const (
	// ActNone carries the operation out and answers.
	ActNone ActionKind = iota
	// ActUnavailable answers that nothing took effect.
	ActUnavailable
	// ActHang never answers, without effect.
	ActHang
	// ActLoseAnswer carries a commit out and loses the answer.
	ActLoseAnswer
	// ActDelay carries a commit out after Wait; its sender hears nothing before.
	ActDelay
	// ActSlow carries the operation out and answers after Wait.
	ActSlow
)

// Action is what happens to one operation.
type Action struct {
	Kind ActionKind
	Wait time.Duration
}

// Operation names what a chooser decides about.
type Operation string

// The operations.
const (
	OpCommit Operation = "commit"
	OpRead   Operation = "read"
	OpObject Operation = "object"
	OpVMs    Operation = "vms"
)

// Chooser decides about each operation, in place of an Order.
type Chooser func(Operation) Action
