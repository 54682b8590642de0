package relay

import (
	"testing"
	"time"
)

// A stream pauses three times: it comes back by itself, is moved, and is sent anew. The
// log's line names what ended the longest pause, which is what its caller noticed.
func TestLongestPauseSaysWhatEndedIt(t *testing.T) {
	arrival := time.Now()
	var p progress
	at := arrival
	event := func(pause time.Duration) {
		at = at.Add(pause)
		p.event(arrival, at)
	}
	event(70 * time.Millisecond)
	event(100 * time.Millisecond)
	if p.first != 70*time.Millisecond || p.ended != pauseByItself {
		t.Errorf("first event after %s, longest pause %q", p.first, p.ended)
	}
	p.moves.Add(1)
	event(300 * time.Millisecond)
	event(50 * time.Millisecond)
	if p.longest != 300*time.Millisecond || p.ended != pauseMoved {
		t.Errorf("pause of %s, %q", p.longest, p.ended)
	}
	p.sends++
	event(400 * time.Millisecond)
	if p.longest != 400*time.Millisecond || p.ended != pauseSentAnew {
		t.Errorf("pause of %s, %q", p.longest, p.ended)
	}
}
