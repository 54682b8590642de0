package rig

import (
	"context"
	"net"
	"testing"

	"geraniumcroft/internal/node"
)

// Guards against routers and stand-ins that go on running after a set-up that failed.
func TestFailedStartLeavesNothingRunning(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	var peer string
	f, err := Start(ctx, Options{Routers: 2, Adjust: func(o *node.Options) {
		if seeds := o.Settings.Peers.Seeds; len(seeds) > 0 {
			peer = seeds[0]
		}
	}})
	if err == nil || f != nil {
		t.Fatalf("%v, %v", f, err)
	}
	if conn, err := net.Dial("tcp", peer); err == nil {
		_ = conn.Close()
		t.Error("the first router still runs")
	}
}
