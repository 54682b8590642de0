package explaincmd

import (
	"strings"
	"testing"
)

// A request was turned away on one VM and served on another. Its lines come out in the
// order in which things happened, whichever log they stand in, and no other request's.
func TestStoryAcrossVMs(t *testing.T) {
	first := `12.5 vm-a {"level":"warn","time":"2026-12-02T10:00:00.9Z","at":"2026-12-02T10:00:00.2Z","msg":"path chosen","vm":"a","requestId":"r1","path":"p"}
{"level":"warn","time":"2026-12-02T10:00:00.95Z","msg":"request failed","vm":"a","requestId":"r1","outcome":"not-run"}
{"level":"warn","time":"2026-12-02T10:00:00.95Z","msg":"request failed","vm":"a","requestId":"r12","outcome":"unknown"}
not a line of ours r1
`
	second := `{"level":"info","time":"2026-12-02T10:00:02Z","msg":"request complete","vm":"b","requestId":"r1"}
`
	var out strings.Builder
	found, err := story(&out, "r1", strings.NewReader(second), strings.NewReader(first))
	want := `10:00:00.200 a path chosen path="p"
10:00:00.950 a request failed outcome="not-run"
10:00:02.000 b request complete
`
	if err != nil || !found || out.String() != want {
		t.Errorf("found %v, %v:\n%s", found, err, out.String())
	}
	if found, err := story(&out, "nobody", strings.NewReader(first)); found || err != nil {
		t.Errorf("found %v, %v", found, err)
	}
}
