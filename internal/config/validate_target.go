package config

import (
	"fmt"
	"math"
	"net/netip"
)

// MaxSlots is the largest number of slots of a target.
const MaxSlots = 65_536

func (v *validator) target(t *Target) {
	path := "target." + t.Name
	v.address(t, path+".address")
	v.name(t.DataCentre, path+".dataCentre")
	v.require(t.Slots >= 1 && t.Slots <= MaxSlots, path+".slots",
		fmt.Sprintf("%d is out of range", t.Slots), fmt.Sprintf("1 to %d", MaxSlots))
	v.rate(t.LayerTokensPerSecond, path+".layerTokensPerSecond")
	v.links(t, path+".links")
	v.require(t.State == StateActive || t.State == StateDraining || t.State == StateReloading, path+".state",
		fmt.Sprintf("unknown state %q", t.State), "active, draining")
	switch t.Kind {
	case KindEngine:
		v.engine(t, path)
	case KindService:
		v.service(t, path)
	default:
		v.add(path+".kind", fmt.Sprintf("unknown kind %q", t.Kind), "engine, service")
	}
}

// address checks that the address is valid and belongs to no other target: two
// targets at one process would each count its slots and assign twice as many requests
// as it has slots.
func (v *validator) address(t *Target, path string) {
	address, ok := parseAddrPort(t.Address)
	if !ok {
		v.add(path, fmt.Sprintf("%q is not an address", t.Address), allowedAddresses)
		return
	}
	for _, owner := range v.ownersOf(address) {
		if owner != t.Name {
			v.add(path, fmt.Sprintf("%s is the address of target %s", address, owner), "each address once")
		}
	}
}

// ownersOf returns the names of the snapshot's targets at an address.
func (v *validator) ownersOf(address netip.AddrPort) []string {
	if v.owners == nil {
		v.owners = make(map[netip.AddrPort][]string, len(v.snapshot.Targets))
		for _, target := range v.snapshot.Targets {
			if target == nil {
				continue
			}
			if parsed, ok := parseAddrPort(target.Address); ok {
				v.owners[parsed] = append(v.owners[parsed], target.Name)
			}
		}
	}
	return v.owners[address]
}

func (v *validator) rate(value float64, path string) {
	finite := !math.IsNaN(value) && !math.IsInf(value, 0)
	v.require(finite && value >= 0, path, "is not a rate", "0 or more")
}

// links checks a target's links. A link may name a target or a data centre that does
// not exist yet, since two targets that link to each other are added one after the
// other.
func (v *validator) links(t *Target, path string) {
	seen := map[string]bool{}
	for i, link := range t.Links {
		fieldPath := fmt.Sprintf("%s[%d]", path, i)
		v.name(link.To, fieldPath+".to")
		v.require(link.To != t.Name, fieldPath+".to", "is the target itself", "another target or a data centre")
		v.require(!seen[link.To], fieldPath+".to", fmt.Sprintf("%q is listed twice", link.To), "each once")
		v.notNegative(int64(link.Latency), fieldPath+".latency")
		v.rate(link.BytesPerSecond, fieldPath+".bytesPerSecond")
		seen[link.To] = true
	}
}

func (v *validator) engine(t *Target, path string) {
	v.require(t.Service == "", path+".service", "stands only in a service", "empty for kind engine")
	v.optionalName(t.Accelerator, path+".accelerator")
	model, known := v.snapshot.Models[t.Model]
	if !known {
		v.add(path+".model", fmt.Sprintf("unknown model %q", t.Model), "the name of a model")
		return
	}
	v.engineModel(t, model)
}

// engineModel checks the version, adapters and layers that an engine is to hold.
func (v *validator) engineModel(t *Target, m *Model) {
	path := "target." + t.Name
	v.listed(m.Versions, t.Version, m, "version", path+".version")
	for i, adapter := range t.Adapters {
		v.listed(m.Adapters, adapter, m, "adapter", fmt.Sprintf("%s.adapters[%d]", path, i))
	}
	v.unique(t.Adapters, path+".adapters")
	whole := LayerRange{From: 0, To: m.Layers}
	if t.Layers.Len() <= 0 || !whole.Contains(t.Layers) {
		v.add(path+".layers", fmt.Sprintf("%s is not a range of model %s", t.Layers, m.Name), "a range within "+whole.String())
	}
}

func (v *validator) service(t *Target, path string) {
	const only = "stands only in an engine"
	const allowed = "empty for kind service"
	v.name(t.Service, path+".service")
	v.require(t.Accelerator == "", path+".accelerator", only, allowed)
	v.require(t.Model == "", path+".model", only, allowed)
	v.require(t.Version == "", path+".version", only, allowed)
	v.require(len(t.Adapters) == 0, path+".adapters", only, allowed)
	v.require(t.Layers == LayerRange{}, path+".layers", only, allowed)
	v.require(t.LayerTokensPerSecond == 0, path+".layerTokensPerSecond", only, allowed)
}
