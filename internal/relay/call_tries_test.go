package relay

import (
	"strconv"
	"testing"
)

// Guards against dead replicas that use up the attempts of a call which reached nobody.
func TestUnsentTriesTakeUpNoAttempt(t *testing.T) {
	const maxAttempts = 2
	for name, c := range map[string]struct {
		arrived []bool
		spent   bool
	}{
		"none yet":                       {nil, false},
		"two refused connections":        {[]bool{false, false}, false},
		"two refused and one answer":     {[]bool{false, false, true}, false},
		"as many arrived as are allowed": {[]bool{true, false, true}, true},
		"too many refused connections":   {make([]bool, maxUnsentTries), true},
	} {
		var tries callTries
		for i, arrived := range c.arrived {
			tries.add(strconv.Itoa(i), arrived)
		}
		if got := tries.spent(maxAttempts); got != c.spent {
			t.Errorf("%s: spent is %t", name, got)
		}
	}
}
