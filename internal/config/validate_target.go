package config

import (
	"fmt"
	"math"
	"slices"
)

// MaxSlots bounds what one target works on at once.
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

// address also refuses an address that is taken: two entries for one process
// would each count its slots and hand out twice what it has.
func (v *validator) address(t *Target, path string) {
	canonical, ok := ParseAddress(t.Address)
	if !ok {
		v.add(path, fmt.Sprintf("%q is not an address", t.Address), allowedAddresses)
		return
	}
	for _, other := range v.snapshot.Targets {
		if other == nil || other.Name == t.Name {
			continue
		}
		if theirs, ok := ParseAddress(other.Address); ok && theirs == canonical {
			v.add(path, fmt.Sprintf("%s is the address of target %s", canonical, other.Name), "each address once")
		}
	}
}

func (v *validator) rate(value float64, path string) {
	finite := !math.IsNaN(value) && !math.IsInf(value, 0)
	v.require(finite && value >= 0, path, "is not a rate", "0 or more")
}

// links may name a target or a data centre that is not there yet, as two targets
// that link to each other are added one after the other.
func (v *validator) links(t *Target, path string) {
	seen := map[string]bool{}
	for i, link := range t.Links {
		place := fmt.Sprintf("%s[%d]", path, i)
		v.name(link.To, place+".to")
		v.require(link.To != t.Name, place+".to", "is the target itself", "another target or a data centre")
		v.require(!seen[link.To], place+".to", fmt.Sprintf("%q is listed twice", link.To), "each once")
		v.notNegative(int64(link.Latency), place+".latency")
		v.rate(link.BytesPerSecond, place+".bytesPerSecond")
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
	v.holding(t, model)
}

// holding checks what an engine is to hold of a model.
func (v *validator) holding(t *Target, m *Model) {
	path := "target." + t.Name
	v.require(slices.Contains(m.Versions, t.Version), path+".version",
		fmt.Sprintf("model %s has no version %q", m.Name, t.Version), fmt.Sprint(m.Versions))
	for i, adapter := range t.Adapters {
		v.require(slices.Contains(m.Adapters, adapter), fmt.Sprintf("%s.adapters[%d]", path, i),
			fmt.Sprintf("model %s has no adapter %q", m.Name, adapter), fmt.Sprint(m.Adapters))
	}
	v.unique(t.Adapters, path+".adapters")
	whole := LayerRange{From: 0, To: m.Layers}
	v.require(t.Layers.Len() > 0 && whole.Contains(t.Layers), path+".layers",
		fmt.Sprintf("%s is not a range of model %s", t.Layers, m.Name), "a range within "+whole.String())
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
