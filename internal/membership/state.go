package membership

// State is the state of a VM as seen by another one. The order is the precedence of rumours about
// the same incarnation: the later state wins.
type State uint8

// The states of a member.
const (
	// Alive VMs answer, or were listed recently and have not been probed yet.
	Alive State = iota
	// Suspected VMs failed a probe and have not refuted the suspicion yet. They may serve.
	Suspected
	// Dead VMs were suspected for the whole timeout.
	Dead
	// Left VMs announced that they have stopped.
	Left
)

// String returns the state's name as it is written to dumps.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspected:
		return "suspected"
	case Dead:
		return "dead"
	case Left:
		return "left"
	}
	return "invalid"
}

// MarshalText implements encoding.TextMarshaler.
func (s State) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}
