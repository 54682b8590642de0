package explaincmd

import (
	"strings"
	"testing"
)

// A request was refused by one VM and served by another. Its lines are printed in the order in
// which the events happened, whichever log holds them, and no line of another request is.
func TestLinesOfAllVMsInOrderOfTime(t *testing.T) {
	first := `12.5 vm-a {"level":"warn","time":"2026-12-02T10:00:00.9Z","at":"2026-12-02T10:00:00.2Z","msg":"path chosen","vm":"a","requestId":"r1","path":"p"}
{"level":"warn","time":"2026-12-02T10:00:00.95Z","msg":"request failed","vm":"a","requestId":"r1","outcome":"not-run"}
{"level":"warn","time":"2026-12-02T10:00:00.95Z","msg":"request failed","vm":"a","requestId":"r12","outcome":"unknown"}
not a line of ours r1
`
	second := `{"level":"info","time":"2026-12-02T10:00:02Z","msg":"request complete","vm":"b","requestId":"r1"}
`
	var out strings.Builder
	found, err := explain(&out, "r1", strings.NewReader(second), strings.NewReader(first))
	want := `10:00:00.200 a path chosen path="p"
10:00:00.950 a request failed outcome="not-run"
10:00:02.000 b request complete
`
	if err != nil || !found || out.String() != want {
		t.Errorf("found %v, %v:\n%s", found, err, out.String())
	}
	if found, err := explain(&out, "nobody", strings.NewReader(first)); found || err != nil {
		t.Errorf("found %v, %v", found, err)
	}
}
