package quarantine

import (
	"testing"
	"time"
)

// BenchmarkUnsuspectedRequest measures the cost of the quarantine for a request without crashes.
func BenchmarkUnsuspectedRequest(b *testing.B) {
	l := NewLedger(DefaultSettings, time.Now())
	c := Content{Method: "POST", Host: "a.example", URI: "/draft/1", Workspace: "crew", Body: make([]byte, 4096)}
	for i := range b.N {
		c.Body[0], c.Body[1], c.Body[2] = byte(i), byte(i>>8), byte(i>>16)
		d := DigestOf(c)
		now := time.Now()
		l.Lookup(d, now)
		l.Lookup(d, now)
		l.RecordSuccess(RequestIdentity(d), now)
	}
}
