package balance

import (
	"cmp"
	"slices"

	"geraniumcroft/internal/config"
)

// view is an immutable index of the targets. Its pools contain only those that this VM uses.
type view struct {
	pools   map[string]*pool
	targets map[string]*target
}

// PoolName returns the name of the pool that a target belongs to: the service's name, or
// model@version for an engine.
func PoolName(t *config.Target) string {
	if t.Kind == config.KindService {
		return t.Service
	}
	return t.Model + "@" + t.Version
}

// groupKeyOf returns the key of the target's group.
func groupKeyOf(t *config.Target) groupKey {
	key := groupKey{pool: PoolName(t)}
	if t.Kind == config.KindEngine {
		key.layers = t.Layers
	}
	return key
}

// groupConfigs returns the targets of each group, sorted by name.
func groupConfigs(s *config.Snapshot) map[groupKey][]*config.Target {
	groups := map[groupKey][]*config.Target{}
	for _, t := range s.Targets {
		groups[groupKeyOf(t)] = append(groups[groupKeyOf(t)], t)
	}
	for _, members := range groups {
		slices.SortFunc(members, func(a, b *config.Target) int { return cmp.Compare(a.Name, b.Name) })
	}
	return groups
}
