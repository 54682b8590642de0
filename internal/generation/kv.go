package generation

import (
	"geraniumcroft/internal/config"
	"geraniumcroft/internal/plan"
)

// kvHolders records which targets hold KV cache of the run, so that a stage on a new
// target can import the cache instead of replaying.
type kvHolders struct {
	stages []plan.Stage
	// importDisabled is set after an epoch with an import failed. The source of the
	// import may be the cause, and a replay needs no other target.
	importDisabled bool
}

// set records that the targets of these stages hold the KV cache. It is called after
// an epoch that committed a token.
func (h *kvHolders) set(stages []plan.Stage) { h.stages = stages }

// remove removes a failed target, because an import from it could hang.
func (h *kvHolders) remove(target string) {
	kept := make([]plan.Stage, 0, len(h.stages))
	for _, stage := range h.stages {
		if stage.Target.Name != target {
			kept = append(kept, stage)
		}
	}
	h.stages = kept
}

// importSource returns the address to import the KV cache of the target's stage from. It is
// empty if the target itself or no target holds the cache, or if imports are disabled.
func (h *kvHolders) importSource(target string, layers config.LayerRange) string {
	address := ""
	for _, stage := range h.stages {
		if !stage.Layers.Contains(layers) {
			continue
		}
		if stage.Target.Name == target {
			return ""
		}
		address = stage.Target.Address
	}
	if h.importDisabled {
		return ""
	}
	return address
}
