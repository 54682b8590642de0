package plan

// Plan is a list of stages that covers a model's layers once and in order.
type Plan struct {
	Stages []Stage
	// Weight is the plan's throughput in tokens per second; 0 for a plan made for one request.
	Weight float64
}

// Check returns a *CoverError unless the stages cover the layers from 0 up to the given number once
// and in order, each within its target's range and each on a different target.
func (p Plan) Check(layers int) error {
	next := 0
	seen := make(map[string]bool, len(p.Stages))
	for i, stage := range p.Stages {
		if problem := p.problem(stage, next, seen); problem != "" {
			return &CoverError{Stage: i, Problem: problem}
		}
		seen[stage.Target.Name] = true
		next = stage.Layers.To
	}
	if next != layers {
		return &CoverError{Stage: len(p.Stages), Problem: "the last layers are not covered"}
	}
	return nil
}

// problem returns what is wrong with a stage that should start at layer next, or "".
func (p Plan) problem(stage Stage, next int, seen map[string]bool) string {
	switch {
	case stage.Target == nil:
		return "no target"
	case stage.Layers.From != next:
		return "does not start where the stage before it ends"
	case stage.Layers.Len() <= 0:
		return "has no layers"
	case !stage.Target.Layers.Contains(stage.Layers):
		return "uses layers that its target does not hold"
	case seen[stage.Target.Name]:
		return "uses a target twice"
	}
	return ""
}

// Uses reports whether the target is one of the plan's stages.
func (p Plan) Uses(target string) bool {
	for _, stage := range p.Stages {
		if stage.Target.Name == target {
			return true
		}
	}
	return false
}
