package settings

import (
	"strings"
	"testing"
)

// FuzzParse looks for files on which the line index and the INI library disagree: a
// file must either be accepted or have findings, each with a line that exists.
func FuzzParse(f *testing.F) {
	f.Add(minimal)
	f.Add(strings.Replace(minimal, "name = entry-1", "name = \"\"\"entry", 1))
	f.Add("[vm]\r\nname=a\r\n[vm] ; twice\nname = 'b'\n-=1\n%(x)s = %(y)s\n[]\n[[vm]]\n")
	f.Add("\ufeff[vm\nname = \x00\n= 3\n\"a = b\" = c\n`k` = `v\n[a.b]\nx = y \\\n")
	f.Fuzz(func(t *testing.T, file string) {
		s, findings := Parse("f.ini", []byte(file))
		if (s == nil) == (len(findings) == 0) {
			t.Fatalf("settings %v with findings %v", s, findings)
		}
		lines := strings.Count(file, "\n") + 1
		for _, finding := range findings {
			if finding.Line < 1 || finding.Line > lines {
				t.Errorf("%s, in a file of %d lines", finding, lines)
			}
		}
	})
}
