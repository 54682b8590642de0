package config

import "testing"

// A target at an address that reaches whatever is near, many at once, or a different
// machine from each VM would be a different target for each of them. One process has
// one form of its address, so that it is not entered twice.
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
