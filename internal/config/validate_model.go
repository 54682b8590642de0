package config

import (
	"fmt"
	"slices"
)

// MaxLayers is the largest number of layers of a model.
const MaxLayers = 10_000

func (v *validator) model(m *Model) {
	path := "model." + m.Name
	v.require(m.Layers >= 1 && m.Layers <= MaxLayers, path+".layers",
		fmt.Sprintf("%d is out of range", m.Layers), fmt.Sprintf("1 to %d", MaxLayers))
	v.require(len(m.Versions) > 0, path+".versions", "is empty", "one version or more")
	v.namedList(m.Versions, path+".versions")
	v.namedList(m.Adapters, path+".adapters")
	v.notNegative(int64(m.ActivationBytes), path+".activationBytes")
}

func (v *validator) namedList(names []string, path string) {
	for i, name := range names {
		v.name(name, fmt.Sprintf("%s[%d]", path, i))
	}
	v.unique(names, path)
}

// dependants checks the profiles and targets that refer to a changed model: they may
// name a version, an adapter or layers that the model no longer has.
func (v *validator) dependants(m *Model) {
	for _, profile := range v.snapshot.Profiles {
		for i, ref := range profile.Models {
			if ref.Model == m.Name {
				v.modelRef(ref, m, fmt.Sprintf("profile.%s.models[%d]", profile.Name, i))
			}
		}
	}
	for _, target := range v.snapshot.Targets {
		if target.Kind == KindEngine && target.Model == m.Name {
			v.engineModel(target, m)
		}
	}
}

func (v *validator) modelRef(ref ModelRef, m *Model, path string) {
	v.listed(m.Versions, ref.Version, m, "version", path+".version")
	if ref.Adapter != "" {
		v.listed(m.Adapters, ref.Adapter, m, "adapter", path+".adapter")
	}
}

// listed requires that a model has a version or an adapter. It formats only on
// failure, since a change of a model checks everything that refers to it.
func (v *validator) listed(list []string, name string, m *Model, what, path string) {
	if !slices.Contains(list, name) {
		v.add(path, fmt.Sprintf("model %s has no %s %q", m.Name, what, name), fmt.Sprint(list))
	}
}
