package config

import (
	"fmt"
	"net/netip"
)

// validator checks entities against the snapshot that they are part of.
type validator struct {
	findings
	snapshot *Snapshot
	// owners maps each address to the names of its targets; built on first use.
	owners map[netip.AddrPort][]string
}

func (v *validator) entity(entity any) {
	switch e := entity.(type) {
	case *Workspace:
		v.workspace(e)
	case *Profile:
		v.profile(e)
	case *Model:
		v.model(e)
	case *Target:
		v.target(e)
	}
}

// deletion rejects the removal of an entity that others still refer to: their requests
// would fail later, with nothing that points to the change as the cause.
func (v *validator) deletion(change Change) {
	path := entityPath(change)
	if entity, _ := v.snapshot.Entity(change.Kind, change.Name); entity == nil {
		v.add(path, "does not exist", "")
		return
	}
	for _, profile := range v.snapshot.Profiles {
		if change.Kind == EntityWorkspace && profile.Workspace == change.Name {
			v.add(path, fmt.Sprintf("is the workspace of profile %s", profile.Name), "delete or change the profile first")
		}
		if change.Kind == EntityModel && profile.uses(change.Name) {
			v.add(path, fmt.Sprintf("serves profile %s", profile.Name), "delete or change the profile first")
		}
	}
	for _, target := range v.snapshot.Targets {
		if change.Kind == EntityModel && target.Model == change.Name {
			v.add(path, fmt.Sprintf("is held by target %s", target.Name), "delete or change the target first")
		}
	}
}

func (p *Profile) uses(model string) bool {
	for _, ref := range p.Models {
		if ref.Model == model {
			return true
		}
	}
	return false
}
