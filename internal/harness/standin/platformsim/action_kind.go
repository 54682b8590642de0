package platformsim

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
