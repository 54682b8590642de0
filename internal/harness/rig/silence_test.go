package rig

import (
	"testing"

	"geraniumcroft/internal/engine/httpengine"
	"geraniumcroft/internal/harness/standin/platformsim"
)

// A caller whose stream fell silent waits for the silence to be noticed before
// anything is done about it. The settings' default was a second where the engines'
// client has three quarters, so that no such stream could go on within the second
// that is promised.
func TestSilenceIsNoticedWithinTheEnginesDefault(t *testing.T) {
	f := &Fleet{Platform: startedPlatform(t)}
	if got := f.settings("entry-1").Targets.SilenceTimeout; got > httpengine.DefaultSilenceTimeout {
		t.Errorf("silence is noticed after %s, the client's default is %s", got, httpengine.DefaultSilenceTimeout)
	}
}

func startedPlatform(t *testing.T) *platformsim.Server {
	t.Helper()
	sim, err := platformsim.Start(loopback)
	must(t, err)
	t.Cleanup(sim.Close)
	return sim
}
