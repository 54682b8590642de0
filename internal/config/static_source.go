package config

import "sync/atomic"

// StaticSource is a Source whose snapshot is set with Set, for tests and benchmarks.
type StaticSource struct {
	current atomic.Pointer[Snapshot]
}

// NewStaticSource returns a source that serves s.
func NewStaticSource(s *Snapshot) *StaticSource {
	source := &StaticSource{}
	source.current.Store(s)
	return source
}

// Current implements Source.
func (s *StaticSource) Current() *Snapshot { return s.current.Load() }

// Set replaces the snapshot.
func (s *StaticSource) Set(snapshot *Snapshot) { s.current.Store(snapshot) }
