package quarantine

import (
	"testing"
	"time"
)

// BenchmarkUnsuspectedRequest measures the cost of the quarantine for a request without crashes, and
// without parts in its prompt.
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

// BenchmarkUnsuspectedRequestWithParts is BenchmarkUnsuspectedRequest for prompts with four shared parts.
func BenchmarkUnsuspectedRequestWithParts(b *testing.B) {
	l := NewLedger(DefaultSettings, time.Now())
	c := Content{Method: "POST", Host: "a.example", URI: "/draft/1", Workspace: "crew", Body: make([]byte, 4096)}
	parts := []string{"5c1e07a2", "91bd3f06", "e4402b7d", "0a77c3d1"}
	for i := range b.N {
		c.Body[0], c.Body[1], c.Body[2] = byte(i), byte(i>>8), byte(i>>16)
		ids := append([]Identity{RequestIdentity(DigestOf(c))}, PartIdentities("drafts", parts)...)
		now := time.Now()
		for _, id := range ids {
			l.Lookup(id.Digest, now)
			l.Lookup(id.Digest, now)
			l.RecordSuccess(id, now)
		}
	}
}
