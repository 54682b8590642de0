package experiment

import (
	"context"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/harness/standin/enginesim"
	"geraniumcroft/internal/plan"
)

const (
	mixedLayers     = 24
	mixedActivation = 64 << 10
	mixedLatency    = 2 * time.Millisecond
	// The links within a data centre carry a hundred times what those between two do.
	nearBytes   = 1e9
	farBytes    = nearBytes / 100
	nearLatency = 200 * time.Microsecond
	farLatency  = 3 * time.Millisecond
)

// accelerator is a kind with its rate and slots.
type accelerator struct {
	name  string
	rate  float64
	slots int
}

var (
	large  = accelerator{"h100", 7200, 48}
	middle = accelerator{"a100", 3600, 28}
	small  = accelerator{"l4", 1200, 12}
)

// mixedEngine is one engine of the mixed graph.
type mixedEngine struct {
	name   string
	kind   accelerator
	centre string
	layers config.LayerRange
}

// mixedEngines do not line up: ranges overlap, and some layers are held by small
// accelerators in part.
var mixedEngines = []mixedEngine{
	{"m-00", large, "dc-0", config.LayerRange{From: 0, To: 12}},
	{"m-01", large, "dc-0", config.LayerRange{From: 10, To: 24}},
	{"m-02", middle, "dc-0", config.LayerRange{From: 0, To: 8}},
	{"m-03", middle, "dc-0", config.LayerRange{From: 8, To: 16}},
	{"m-04", middle, "dc-0", config.LayerRange{From: 16, To: 24}},
	{"m-05", large, "dc-1", config.LayerRange{From: 0, To: 16}},
	{"m-06", middle, "dc-1", config.LayerRange{From: 12, To: 24}},
	{"m-07", middle, "dc-1", config.LayerRange{From: 16, To: 24}},
	{"m-08", small, "dc-1", config.LayerRange{From: 0, To: 4}},
	{"m-09", small, "dc-1", config.LayerRange{From: 4, To: 8}},
	{"m-10", middle, "dc-2", config.LayerRange{From: 0, To: 12}},
	{"m-11", middle, "dc-2", config.LayerRange{From: 12, To: 24}},
	{"m-12", small, "dc-2", config.LayerRange{From: 0, To: 6}},
	{"m-13", small, "dc-2", config.LayerRange{From: 6, To: 12}},
	{"m-14", small, "dc-2", config.LayerRange{From: 12, To: 18}},
	{"m-15", small, "dc-2", config.LayerRange{From: 18, To: 24}},
}

// linkBetween is what a message between two engines of the graph meets.
func linkBetween(from, to string) (time.Duration, float64) {
	centres := map[string]string{}
	for _, e := range mixedEngines {
		centres[e.name] = e.centre
	}
	if centres[from] == centres[to] {
		return nearLatency, nearBytes
	}
	return farLatency, farBytes
}

// links are the same as a target's configuration tells them.
func (e mixedEngine) links() []config.Link {
	var links []config.Link
	for _, centre := range []string{"dc-0", "dc-1", "dc-2"} {
		link := config.Link{To: centre, Latency: config.Duration(farLatency), BytesPerSecond: farBytes}
		if centre == e.centre {
			link.Latency, link.BytesPerSecond = config.Duration(nearLatency), nearBytes
		}
		links = append(links, link)
	}
	return links
}

func (s *scene) addMixedGraph(ctx context.Context) error {
	model := &config.Model{Name: modelName, Layers: mixedLayers, Versions: []string{modelVersion}, ActivationBytes: mixedActivation}
	if err := s.applyModel(ctx, model); err != nil {
		return err
	}
	fabric := enginesim.NewFabric(linkBetween)
	for _, e := range mixedEngines {
		_, err := s.AddEngine(ctx, enginesim.Options{
			Name: e.name, Model: model, Version: modelVersion, Layers: e.layers, Slots: e.kind.slots, Fabric: fabric,
			LayerTokensPerSecond: e.kind.rate, TokenLatency: mixedLatency,
		}, e.centre, e.kind.name, e.links()...)
		if err != nil {
			return err
		}
	}
	return nil
}

// planned returns the plans that the first router's configuration gives.
func (s *scene) planned() (*plan.Set, error) {
	snapshot := s.Nodes[0].Store().Current()
	in := plan.Input{Model: snapshot.Models[modelName], Version: modelVersion}
	for _, target := range snapshot.Targets {
		in.Targets = append(in.Targets, target)
	}
	return plan.Compute(in)
}
