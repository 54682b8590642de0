package relay

import (
	"testing"
	"time"
)

// A stream pauses three times: it resumes by itself, is moved, and is sent again. The log line must
// name what ended the longest pause, which is the one its caller noticed.
func TestLongestPauseRecordsWhatEndedIt(t *testing.T) {
	arrival := time.Now()
	var p progress
	at := arrival
	recordEvent := func(pause time.Duration) {
		at = at.Add(pause)
		p.recordEvent(arrival, at)
	}
	recordEvent(70 * time.Millisecond)
	recordEvent(100 * time.Millisecond)
	if p.firstEvent != 70*time.Millisecond || p.endedBy != pauseByItself {
		t.Errorf("first event after %s, longest pause %q", p.firstEvent, p.endedBy)
	}
	p.moves.Add(1)
	recordEvent(300 * time.Millisecond)
	recordEvent(50 * time.Millisecond)
	if p.longestPause != 300*time.Millisecond || p.endedBy != pauseMoved {
		t.Errorf("pause of %s, %q", p.longestPause, p.endedBy)
	}
	p.sends++
	recordEvent(400 * time.Millisecond)
	if p.longestPause != 400*time.Millisecond || p.endedBy != pauseSentAnew {
		t.Errorf("pause of %s, %q", p.longestPause, p.endedBy)
	}
}
