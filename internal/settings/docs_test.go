package settings

import (
	"flag"
	"os"
	"testing"
)

var update = flag.Bool("update", false, "write docs/settings.md and the example file from the table of keys")

func TestPageIsCurrent(t *testing.T) {
	const path = "../../docs/settings.md"
	file, err := os.ReadFile(path)
	if err != nil && !*update {
		t.Fatal(err)
	}
	checkOrUpdate(t, path, string(file), Page())
}

// checkOrUpdate fails the test if the file differs from what the table of keys gives. With
// -update it writes the file instead.
func checkOrUpdate(t *testing.T, path, have, want string) {
	t.Helper()
	if have == want {
		return
	}
	if !*update {
		t.Fatalf("%s is not what the table of keys gives; run go test ./internal/settings -update", path)
	}
	if err := os.WriteFile(path, []byte(want), 0o644); err != nil {
		t.Fatal(err)
	}
}
