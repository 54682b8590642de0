package entry

import (
	"testing"

	"geraniumcroft/internal/settings"
)

// Guards against a VM that accepts more connections than its handles or memory allow.
func TestConnectionsFitTheVM(t *testing.T) {
	for name, c := range map[string]struct {
		vm   settings.VM
		want int
	}{
		"unknown":            {settings.VM{}, connectionsCap},
		"few handles":        {settings.VM{MaxHandles: 1400, MemoryMB: 4096}, 437},
		"little memory":      {settings.VM{MaxHandles: 100_000, MemoryMB: 128}, 1024},
		"less than reserved": {settings.VM{MaxHandles: 100, MemoryMB: 1}, minConnections},
	} {
		if got := maxConnections(c.vm); got != c.want {
			t.Errorf("%s: %d connections, want %d", name, got, c.want)
		}
		handles := reservedHandles + handlesPerCaller*maxConnections(c.vm) + maxPassedOn(c.vm)
		if c.vm.MaxHandles > reservedHandles && handles > c.vm.MaxHandles {
			t.Errorf("%s: callers and peers may take %d handles", name, handles)
		}
	}
}
