package rig

import (
	"testing"

	"geraniumcroft/internal/engine/httpengine"
	"geraniumcroft/internal/harness/standin/platformsim"
)

// A stream that goes silent can resume elsewhere only after the silence is detected.
// The default of the silence timeout in the settings was once a second, while the
// engine client's default is 750 ms, so that no silent stream could resume within the
// promised second.
func TestSilenceIsNoticedWithinTheEnginesDefault(t *testing.T) {
	f := &Fleet{Platform: startedPlatform(t)}
	if got := f.settings("entry-1").Targets.SilenceTimeout; got > httpengine.DefaultSilenceTimeout {
		t.Errorf("silence is detected after %s, the client's default is %s", got, httpengine.DefaultSilenceTimeout)
	}
}

func startedPlatform(t *testing.T) *platformsim.Server {
	t.Helper()
	sim, err := platformsim.Start(loopback)
	must(t, err)
	t.Cleanup(sim.Close)
	return sim
}
