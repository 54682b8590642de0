package security

import (
	"os"
	"path/filepath"
	"testing"
)

// The log is written into the directory of the tokens file, so each line causes a
// notification for that directory. If each notification caused a reload, and thereby a log
// line, the log would grow by about ten lines per second without end. Only a change of the
// file itself may count.
func TestOtherFilesInTheDirectoryAreNoChange(t *testing.T) {
	directory := t.TempDir()
	tokens := filepath.Join(directory, "tokens")
	write(t, tokens, "one")
	changes := 0
	w := &watcher{paths: []string{tokens}, onChange: func() { changes++ }}
	stamps := w.stamps()
	write(t, filepath.Join(directory, "log"), "a line")
	stamps = w.check(stamps)
	if changes != 0 {
		t.Fatal("another file counted as a change")
	}
	write(t, tokens, "another")
	stamps = w.check(stamps)
	if changes != 1 {
		t.Fatalf("%d changes, want 1 for the changed file", changes)
	}
	if w.check(stamps); changes != 1 {
		t.Fatal("one change was counted twice")
	}
}

func write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
