package membership

// State is what this VM holds another VM to be. The order is the precedence of
// rumours of the same incarnation: the later one wins.
type State uint8

// The states of a member.
const (
	// Alive VMs answer, or were listed a moment ago and have yet to be probed.
	Alive State = iota
	// Suspected VMs failed a probe and have not refuted it yet. They may serve.
	Suspected
	// Dead VMs were suspected for the whole timeout.
	Dead
	// Left VMs announced that they have stopped.
	Left
)

// String returns the state's name as it stands in dumps.
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
