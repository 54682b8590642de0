package experiment

import (
	"context"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/harness/standin/enginesim"
	"geraniumcroft/internal/plan"
)

const (
	mixedLayers          = 24
	mixedActivationBytes = 64 << 10
	mixedLatency         = 2 * time.Millisecond
	// The links within a data centre have a hundred times the bandwidth of those between
	// data centres.
	localBytesPerSecond  = 1e9
	remoteBytesPerSecond = localBytesPerSecond / 100
	localLatency         = 200 * time.Microsecond
	remoteLatency        = 3 * time.Millisecond
)

// accelerator is a kind of accelerator. Its rate is in layers times tokens per second.
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

// mixedEngines are the engines of the graph. Their layer ranges overlap and have different
// bounds, and some layers are partly held by small accelerators.
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

// linkBetween returns the latency and the bandwidth, in bytes per second, of the link
// between two engines of the graph.
func linkBetween(from, to string) (time.Duration, float64) {
	centres := map[string]string{}
	for _, e := range mixedEngines {
		centres[e.name] = e.centre
	}
	if centres[from] == centres[to] {
		return localLatency, localBytesPerSecond
	}
	return remoteLatency, remoteBytesPerSecond
}

// links returns the same links in the form of a target's configuration.
func (e mixedEngine) links() []config.Link {
	var links []config.Link
	for _, centre := range []string{"dc-0", "dc-1", "dc-2"} {
		link := config.Link{To: centre, Latency: config.Duration(remoteLatency), BytesPerSecond: remoteBytesPerSecond}
		if centre == e.centre {
			link.Latency, link.BytesPerSecond = config.Duration(localLatency), localBytesPerSecond
		}
		links = append(links, link)
	}
	return links
}

// addMixedGraph adds the model and the engines of the graph.
func (s *system) addMixedGraph(ctx context.Context) error {
	model := &config.Model{Name: modelName, Layers: mixedLayers, Versions: []string{modelVersion}, ActivationBytes: mixedActivationBytes}
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

// computePlans returns the plans for the configuration of the first router.
func (s *system) computePlans() (*plan.Set, error) {
	snapshot := s.Nodes[0].Store().Current()
	in := plan.Input{Model: snapshot.Models[modelName], Version: modelVersion}
	for _, target := range snapshot.Targets {
		in.Targets = append(in.Targets, target)
	}
	return plan.Compute(in)
}
