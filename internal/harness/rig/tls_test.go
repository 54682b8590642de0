package rig

import (
	"context"
	"testing"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/node"
	"geraniumcroft/internal/security"
	"geraniumcroft/internal/security/certtest"
)

// Peers use mutual TLS. A change made at one VM is in force at the other, whose
// certificate names the IP address at which it is reached. A VM whose certificate is
// signed by another authority reads the table like any other VM, but peers do not
// accept it and it does not accept them, so it cannot spread a configuration.
func TestPeersWithMutualTLS(t *testing.T) {
	trusted, untrusted := certtest.New(t), certtest.New(t)
	authority := trusted
	ctx, cancel := context.WithTimeout(context.Background(), testBound)
	defer cancel()
	f, err := Start(ctx, Options{Routers: 2, Adjust: func(o *node.Options) {
		files, _ := authority.Write(t.TempDir(), "127.0.0.1")
		source, err := security.NewTLSSource(security.TLSFiles(files), security.Options{})
		must(t, err)
		t.Cleanup(source.Close)
		o.PeersTLS, o.PeersClientTLS = source.ServerConfig(), source.ClientConfig
	}})
	must(t, err)
	defer f.Stop()
	must(t, f.Apply(ctx, config.EntityWorkspace, "w", &config.Workspace{Name: "w"}))
	if !f.Nodes[0].Peers().Reachable() || !f.Nodes[1].Peers().Reachable() {
		t.Error("the two VMs do not reach each other")
	}

	authority = untrusted
	stranger, err := f.AddRouter()
	must(t, err)
	must(t, f.AwaitReady(ctx))
	if stranger.Peers().Reachable() {
		t.Error("a VM with another authority's certificate reached a peer")
	}
	bounded, stop := context.WithTimeout(ctx, time.Second)
	defer stop()
	if err := f.Apply(bounded, config.EntityWorkspace, "w2", &config.Workspace{Name: "w2"}); err == nil {
		t.Error("a change was accepted without the listed VM that no peer reaches")
	}
}
