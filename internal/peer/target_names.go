package peer

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"geraniumcroft/internal/config"
)

// hashName returns the hash that stands for a target's name in messages.
func hashName(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// targetNames maps the hashes of targets' names back to the names. It is safe for concurrent use.
type targetNames struct {
	source config.Source

	mu      sync.Mutex // guards the fields below
	version uint64
	names   map[uint32]string
}

// resolve returns loads by target name. A hash is ignored if no target of this VM's configuration
// has it, or if two have it: a missing load makes the choice of a target slightly worse, while a
// wrong one would keep work from the wrong target.
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

// current returns the names by hash for the current configuration. The name is empty for a hash
// that two targets have.
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
		if _, ambiguous := names[hash]; ambiguous {
			names[hash] = ""
			continue
		}
		names[hash] = name
	}
	t.version, t.names = snapshot.Version, names
	return names
}
