package relay

import "sync/atomic"

const (
	// defaultBodyMemory bounds the bytes of all bodies if the VM's memory is not known. A VM has at least
	// 184 MB.
	defaultBodyMemory = 24 << 20
	// bodyChunk is the buffer that a body of unknown length is given first.
	bodyChunk = 16 << 10
)

// bodyMemory bounds the memory of all bodies that are being read or held. It is safe for concurrent use.
type bodyMemory struct {
	limit int64
	used  atomic.Int64
}

func newBodyMemory(limit int64) *bodyMemory {
	if limit <= 0 {
		limit = defaultBodyMemory
	}
	return &bodyMemory{limit: limit}
}

// reserve takes memory for a number of bytes, and reports whether there was room for them.
func (m *bodyMemory) reserve(bytes int64) bool {
	if m.used.Add(bytes) <= m.limit {
		return true
	}
	m.used.Add(-bytes)
	return false
}

func (m *bodyMemory) release(bytes int64) { m.used.Add(-bytes) }
