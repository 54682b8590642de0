package entry

import (
	"testing"

	"geraniumcroft/internal/settings"
)

// Guards against a VM that takes more connections than it has handles or memory for.
func TestConnectionsFitTheVM(t *testing.T) {
	for name, c := range map[string]struct {
		vm   settings.VM
		most int
	}{
		"unknown":            {settings.VM{}, mostConnections},
		"few handles":        {settings.VM{MaxHandles: 1400, MemoryMB: 4096}, 500},
		"little memory":      {settings.VM{MaxHandles: 100_000, MemoryMB: 128}, 1024},
		"less than reserved": {settings.VM{MaxHandles: 100, MemoryMB: 1}, leastConnections},
	} {
		if got := maxConnections(c.vm); got != c.most {
			t.Errorf("%s: %d connections, expected %d", name, got, c.most)
		}
	}
}
