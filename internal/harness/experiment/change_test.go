package experiment

import (
	"context"
	"testing"
	"time"

	"geraniumcroft/internal/node"
)

// Guards against a change that is never in force and is counted with the time of its timeout.
func TestChangeThatIsNotInForceIsAnError(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for _, inForce := range []bool{true, false} {
		_, err := awaitOnAll(ctx, []*node.Node{nil}, time.Now(), func(*node.Node) bool { return inForce })
		if (err == nil) != inForce {
			t.Errorf("in force %t: %v", inForce, err)
		}
	}
}
