package balance

import (
	"cmp"
	"slices"

	"geraniumcroft/internal/config"
)

// view is an immutable index of the targets that this VM uses.
type view struct {
	pools   map[string]*pool
	targets map[string]*target
}

// PoolOf returns the name of the pool that a target belongs to: the service's
// name, or model@version for an engine.
func PoolOf(t *config.Target) string {
	if t.Kind == config.KindService {
		return t.Service
	}
	return t.Model + "@" + t.Version
}

func groupOf(t *config.Target) groupKey {
	key := groupKey{pool: PoolOf(t)}
	if t.Kind == config.KindEngine {
		key.layers = t.Layers
	}
	return key
}

func groupConfigs(s *config.Snapshot) map[groupKey][]*config.Target {
	groups := map[groupKey][]*config.Target{}
	for _, t := range s.Targets {
		groups[groupOf(t)] = append(groups[groupOf(t)], t)
	}
	for _, members := range groups {
		slices.SortFunc(members, func(a, b *config.Target) int { return cmp.Compare(a.Name, b.Name) })
	}
	return groups
}
