package cli

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Scripts tell by the exit code whether the command line has to be corrected or the command may
// be run again. Bad usage exits with 2 before anything has been started, also if the dash of a
// flag is missing.
func TestExitCodes(t *testing.T) {
	file := func(name, content string) string {
		path := filepath.Join(t.TempDir(), name)
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	const example = "../../geraniumcroft.example.ini"

	Convey("A command that succeeds exits with 0", t, func() {
		So(Run([]string{"version"}), ShouldEqual, 0)
		So(Run([]string{"check", "-settings", example}), ShouldEqual, 0)
	})

	Convey("A command that fails exits with 1", t, func() {
		token := file("token", "operator")
		So(Run([]string{"dump", "-admin", "http://127.0.0.1:1", "-token-file", token}), ShouldEqual, 1)
	})

	Convey("Bad usage and bad settings exit with 2", t, func() {
		bad := file("bad.ini", "[vm]\nname = ?\n")
		for _, line := range [][]string{
			{"-unknown"},
			{"check"},
			{"check", "-settings", bad},
			{"check", "settings", example},
			{"serve"},
			{"serve", "-settings", bad},
			{"serve", "-settings", example, "now"},
			{"demo", "keep"},
			{"dump"},
			{"dump", "token-file", "x"},
			{"dump", "-token-file", bad + ".none"},
			{"standin"},
			{"standin", "-file", bad},
			{"experiment"},
			{"load", "-compare", "one.json"},
		} {
			SoMsg(line[0], Run(line), ShouldEqual, 2)
		}
	})
}
