package config

// Source provides the configuration in force on this VM.
type Source interface {
	// Current returns the newest snapshot that this VM has applied. It never
	// blocks, is safe for concurrent use, and its version never decreases.
	Current() *Snapshot
}
