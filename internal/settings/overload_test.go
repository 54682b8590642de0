package settings

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// minimalRelay has the required keys of a relaying VM in lines 1 to 13.
const minimalRelay = `[vm]
name = relay-1
data_centre = lima-surco
[callers]
address = 127.0.0.1:8080
[ready]
address = 127.0.0.1:8081
[peers]
address = 127.0.0.1:8082
[platform]
store = 127.0.0.1:7000
[metrics]
address = 127.0.0.1:8083
`

// A file of a deployment from before overload control has no such section and must get
// the documented defaults.
func TestOverloadTakesDefaults(t *testing.T) {
	Convey("A relaying VM's file without [overload] gets the defaults", t, func() {
		s, findings := ParseRelay("f.ini", []byte(minimalRelay))
		So(findings, ShouldBeEmpty)
		So(s.Overload, ShouldResemble, Overload{Mode: "auto", Reserve: 0.15, LateReserve: 0.1, MinServed: 0.35})
	})
}

// The bounds belong to the allowed values, and each key sets its own field: exchanged
// fields would pass a test that gives all keys the same value.
func TestOverloadAcceptsItsBounds(t *testing.T) {
	for section, want := range map[string]Overload{
		"mode = off\nreserve = 0\nlate_reserve = 0\nmin_served = 0\n":       {Mode: "off"},
		"mode = auto\nreserve = 0.5\nlate_reserve = 0.5\nmin_served = 1\n":  {Mode: "auto", Reserve: 0.5, LateReserve: 0.5, MinServed: 1},
		"mode = off\nreserve = 0.1\nlate_reserve = 0.3\nmin_served = 0.7\n": {Mode: "off", Reserve: 0.1, LateReserve: 0.3, MinServed: 0.7},
	} {
		s, findings := ParseRelay("f.ini", []byte(minimalRelay+"[overload]\n"+section))
		switch {
		case len(findings) > 0:
			t.Errorf("%q: findings %v", section, findings)
		case s.Overload != want:
			t.Errorf("%q: %+v, want %+v", section, s.Overload, want)
		}
	}
}

// A value beyond a bound, an unknown mode and a misspelt key must not start a VM whose
// limits are not those that its operator wrote.
func TestOverloadFindings(t *testing.T) {
	for line, want := range map[string]string{
		"mode = on":            `f.ini:15: overload.mode: "on" is not known, allowed: one of auto, off`,
		"mode =":               `f.ini:15: overload.mode: is empty, allowed: one of auto, off`,
		"reserve = -0.01":      `f.ini:15: overload.reserve: "-0.01" is out of range, allowed: a number from 0 to 0.5`,
		"reserve = 0.51":       `f.ini:15: overload.reserve: "0.51" is out of range, allowed: a number from 0 to 0.5`,
		"reserve = NaN":        `f.ini:15: overload.reserve: "NaN" is not a number, allowed: a number from 0 to 0.5`,
		"late_reserve = -0.01": `f.ini:15: overload.late_reserve: "-0.01" is out of range, allowed: a number from 0 to 0.5`,
		"late_reserve = 0.51":  `f.ini:15: overload.late_reserve: "0.51" is out of range, allowed: a number from 0 to 0.5`,
		"min_served = -0.01":   `f.ini:15: overload.min_served: "-0.01" is out of range, allowed: a number from 0 to 1`,
		"min_served = 1.01":    `f.ini:15: overload.min_served: "1.01" is out of range, allowed: a number from 0 to 1`,
		"reserves = 0.1":       `f.ini:15: overload.reserves: unknown key, allowed: mode, reserve, late_reserve, min_served`,
	} {
		s, findings := ParseRelay("f.ini", []byte(minimalRelay+"[overload]\n"+line+"\n"))
		if s != nil {
			t.Errorf("%q: settings in spite of findings", line)
		}
		if len(findings) != 1 || findings[0].String() != want {
			t.Errorf("%q: findings %v\n    want %s", line, findings, want)
		}
	}
}

// Only relaying VMs have overload control. A file for serve with this section would seem
// to set limits that nothing applies.
func TestOverloadIsUnknownToServe(t *testing.T) {
	Convey("The section is a finding in the file of a VM that does not relay", t, func() {
		_, findings := Parse("f.ini", []byte(minimal+"[overload]\nmode = off\n"))
		So(findings, ShouldHaveLength, 1)
		So(findings[0].String(), ShouldStartWith, "f.ini:18: overload: unknown section, allowed: vm, callers, ")
	})
}
