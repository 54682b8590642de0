package config

// Urgency is the priority of requests on every shared resource. The zero value is Bulk.
type Urgency uint8

// The levels, from the least urgent to the most urgent.
const (
	Bulk Urgency = iota
	Normal
	Urgent
)

// UrgencyCount is the number of levels; it sizes arrays indexed by Urgency.
const UrgencyCount = 3

// String returns the level's name as used in JSON, or "invalid" for another value.
func (u Urgency) String() string {
	switch u {
	case Bulk:
		return "bulk"
	case Normal:
		return "normal"
	case Urgent:
		return "urgent"
	}
	return "invalid"
}

// MarshalText implements encoding.TextMarshaler.
func (u Urgency) MarshalText() ([]byte, error) {
	return []byte(u.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. It returns an
// *UnknownNameError for a name that is not a level.
func (u *Urgency) UnmarshalText(text []byte) error {
	for level := Bulk; level <= Urgent; level++ {
		if level.String() == string(text) {
			*u = level
			return nil
		}
	}
	return &UnknownNameError{Kind: "urgency", Name: string(text), Allowed: "bulk, normal, urgent"}
}
