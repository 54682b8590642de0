package drain

import "strings"

// Cause is a set of reasons why a target is leaving.
type Cause uint8

// The reasons of a Cause.
const (
	// CauseOperator means that the target's entry in the configuration is set to draining.
	CauseOperator Cause = 1 << iota
	// CauseVMList means that the platform lists the target's machine as leaving.
	CauseVMList
	// CauseReport means that the target's newest load report says that it is leaving.
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

// Has reports whether c contains the reason.
func (c Cause) Has(reason Cause) bool { return c&reason != 0 }

// String returns the names of the reasons, joined by "+".
func (c Cause) String() string {
	var names []string
	for _, known := range causeNames {
		if c.Has(known.cause) {
			names = append(names, known.name)
		}
	}
	return strings.Join(names, "+")
}

// MarshalText implements encoding.TextMarshaler. It returns the same text as String.
func (c Cause) MarshalText() ([]byte, error) { return []byte(c.String()), nil }
