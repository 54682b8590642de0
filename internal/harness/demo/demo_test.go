package demo

import (
	"bytes"
	"context"
	"testing"
)

// Runs the demo over real connections: each caller receives the correct response, with two
// routers that share and fill the engines, a stage that crashes and a lost response. It has
// caught a configuration change that was reported as accepted before the second router had
// it, a connection pool in which all requests waited forever, and drafts that were given up
// because an engine had no free slot.
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
