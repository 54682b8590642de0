package platformsim

// ActionKind is the kind of fault that applies to one operation.
type ActionKind uint8

// The kinds of action.
const (
	// ActNone carries out the operation and responds.
	ActNone ActionKind = iota
	// ActUnavailable responds that the operation had no effect.
	ActUnavailable
	// ActHang never responds. The operation has no effect.
	ActHang
	// ActLoseAnswer carries out a commit and loses the response. For a read it is the
	// same as ActUnavailable.
	ActLoseAnswer
	// ActDelay carries out a commit after Wait and never responds. For a read it is the
	// same as ActHang.
	ActDelay
	// ActSlow carries out the operation and responds after Wait.
	ActSlow
)
