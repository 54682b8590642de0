package security

import (
	"os"
	"path/filepath"
	"testing"
)

// The log is written into the directory of the tokens file. Each line is a notice
// for that directory; were the file read again on each, that would be logged, and
// the log would fill itself with some ten lines a second for ever. Only a change of
// the file itself counts.
func TestOtherFilesInTheDirectoryAreNoChange(t *testing.T) {
	directory := t.TempDir()
	tokens := filepath.Join(directory, "tokens")
	write(t, tokens, "one")
	changes := 0
	w := &watcher{paths: []string{tokens}, changed: func() { changes++ }}
	stamps := w.stamps()
	write(t, filepath.Join(directory, "log"), "a line")
	stamps = w.look(stamps)
	if changes != 0 {
		t.Fatal("another file counted as a change")
	}
	write(t, tokens, "another")
	stamps = w.look(stamps)
	if changes != 1 {
		t.Fatalf("%d changes, want the one of the file", changes)
	}
	if w.look(stamps); changes != 1 {
		t.Fatal("a change counted twice")
	}
}

func write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
