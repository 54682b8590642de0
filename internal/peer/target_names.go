package peer

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"geraniumcroft/internal/config"
)

// hashName shortens a target's name for a message.
func hashName(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// targetNames finds targets by the hash of their names.
type targetNames struct {
	source config.Source

	mu      sync.Mutex // guards the fields below
	version uint64
	names   map[uint32]string
}

// resolve returns loads by name. A hash that no target of this VM's
// configuration has, or that two have, is left out: a load that is missing makes
// a choice a little worse, a wrong one would hold the wrong target back.
func (t *targetNames) resolve(byHash map[uint32]int) map[string]int {
	names := t.current()
	byName := make(map[string]int, len(byHash))
	for hash, inFlight := range byHash {
		if name := names[hash]; name != "" {
			byName[name] = inFlight
		}
	}
	return byName
}

func (t *targetNames) current() map[uint32]string {
	snapshot := t.source.Current()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.names != nil && t.version == snapshot.Version {
		return t.names
	}
	names := make(map[uint32]string, len(snapshot.Targets))
	for name := range snapshot.Targets {
		hash := hashName(name)
		if _, twice := names[hash]; twice {
			names[hash] = ""
			continue
		}
		names[hash] = name
	}
	t.version, t.names = snapshot.Version, names
	return names
}
