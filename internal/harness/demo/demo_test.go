package demo

import (
	"bytes"
	"context"
	"testing"
)

// The whole path over real connections: what each caller of the script gets is
// right, with two routers that share engines which they fill, a stage's death and
// a lost answer. It failed first with a change that was told accepted before the
// second router had it, then with a pool whose requests all waited for good, then
// with drafts given up because an engine had no free slot.
func TestScript(t *testing.T) {
	var out bytes.Buffer
	d, err := New(context.Background(), &out)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	if err := d.Run(context.Background()); err != nil {
		t.Fatalf("%v\n%s", err, out.String())
	}
}
