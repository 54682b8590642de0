package config

import "testing"

// Unspecified, multicast and link-local addresses and host names may lead to a
// different machine from each VM, so that one target would be a different process for
// each of them. All forms of an accepted address have one canonical form, so that a
// process cannot be registered twice.
func TestParseAddress(t *testing.T) {
	for address, want := range map[string]string{
		"10.0.0.1:9000":          "10.0.0.1:9000",
		"[::ffff:10.0.0.1]:9000": "10.0.0.1:9000",
		"[2001:DB8::0:1]:9000":   "[2001:db8::1]:9000",
		"0.0.0.0:9000":           "",
		"[::]:9000":              "",
		"224.0.0.1:9000":         "",
		"[fe80::1%eth0]:9000":    "",
		"10.0.0.1:0":             "",
		"10.0.0.1":               "",
		"gpu.example:9000":       "",
		"":                       "",
	} {
		if got, ok := ParseAddress(address); got != want || ok != (want != "") {
			t.Errorf("%q is %q, %t, want %q", address, got, ok, want)
		}
	}
}
