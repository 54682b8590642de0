package generation

import (
	"geraniumcroft/internal/config"
	"geraniumcroft/internal/plan"
)

// kvHolders knows which targets hold KV cache of the run, so that a stage that
// moves can import it instead of replaying.
type kvHolders struct {
	stages []plan.Stage
	// avoid is set after an epoch with an import failed: the source may be what is
	// wrong, and a replay needs nobody else.
	avoid bool
}

// keep records that the stages have worked on a token.
func (h *kvHolders) keep(stages []plan.Stage) { h.stages = stages }

// drop forgets a target that failed; importing from it could hang.
func (h *kvHolders) drop(target string) {
	kept := make([]plan.Stage, 0, len(h.stages))
	for _, stage := range h.stages {
		if stage.Target.Name != target {
			kept = append(kept, stage)
		}
	}
	h.stages = kept
}

// source returns the address to import a stage's KV cache from, empty when the
// target holds it itself or nobody does.
func (h *kvHolders) source(target string, layers config.LayerRange) string {
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
	if h.avoid {
		return ""
	}
	return address
}
