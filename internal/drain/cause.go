package drain

import "strings"

// Cause is a set of the reasons for which a target is leaving.
type Cause uint8

// The reasons.
const (
	// CauseOperator: the target's entry says draining.
	CauseOperator Cause = 1 << iota
	// CauseVMList: the platform lists the target's machine as leaving.
	CauseVMList
	// CauseReport: the target's newest load report says leaving.
	CauseReport
)

var causeNames = []struct {
	cause Cause
	name  string
}{
	{CauseOperator, "operator"},
	{CauseVMList, "vm-list"},
	{CauseReport, "report"},
}

// Has reports whether the reason is in the set.
func (c Cause) Has(reason Cause) bool { return c&reason != 0 }

// String returns the reasons joined by "+".
func (c Cause) String() string {
	var names []string
	for _, known := range causeNames {
		if c.Has(known.cause) {
			names = append(names, known.name)
		}
	}
	return strings.Join(names, "+")
}

// MarshalText implements encoding.TextMarshaler.
func (c Cause) MarshalText() ([]byte, error) { return []byte(c.String()), nil }
