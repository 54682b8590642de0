package relay

import (
	"strconv"
	"testing"
)

// Guards against dead replicas using up the attempts of a call that has not reached any replica.
func TestUnsentTriesTakeUpNoAttempt(t *testing.T) {
	const maxAttempts = 2
	for name, c := range map[string]struct {
		arrived   []bool
		exhausted bool
	}{
		"none yet":                       {nil, false},
		"two refused connections":        {[]bool{false, false}, false},
		"two refused and one answer":     {[]bool{false, false, true}, false},
		"as many arrived as are allowed": {[]bool{true, false, true}, true},
		"too many refused connections":   {make([]bool, maxUnsentAttempts), true},
	} {
		var attempts callAttempts
		for i, arrived := range c.arrived {
			attempts.add(strconv.Itoa(i), arrived)
		}
		if got := attempts.exhausted(maxAttempts); got != c.exhausted {
			t.Errorf("%s: spent is %t", name, got)
		}
	}
}
