package mirror

import (
	"maps"
	"slices"
	"sync"

	"geraniumcroft/internal/platform"
)

// unpackCache unpacks each change once for all VMs of a simulated fleet, which receive the same ones.
// Otherwise most of the tests' time would go into that.
type unpackCache struct {
	mu      sync.Mutex // guards the field below
	changes map[string]platform.TableChange
}

// get returns an unpacked change with maps of its own.
func (c *unpackCache) get(packed []byte) (platform.TableChange, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change, known := c.changes[string(packed)]
	if !known {
		unpacked, err := unpack(packed)
		if err != nil {
			return unpacked, err
		}
		if c.changes == nil {
			c.changes = map[string]platform.TableChange{}
		}
		change = unpacked
		c.changes[string(packed)] = change
	}
	change.Written, change.Deleted = maps.Clone(change.Written), slices.Clone(change.Deleted)
	return change, nil
}
