package experiment

import (
	"context"
	"fmt"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/harness/callclient"
	"geraniumcroft/internal/harness/standin/enginesim"
	"geraniumcroft/internal/harness/standin/servicesim"
	"geraniumcroft/internal/node"
)

const (
	deploymentLayers     = 16
	wholeReplicas        = 10
	replicasPerHalf      = 15
	deploymentSlots      = 8
	deploymentLayerRate  = 800.0
	deploymentLatency    = 5 * time.Millisecond
	deploymentInstances  = 3
	deploymentCallTime   = 20 * time.Millisecond
	deploymentCallSlots  = 16
	deploymentWorkspaces = 10
	largeWorkspaces      = 2
)

// sizes measures a system of the present size of both users: 40 replicas of a model and 3 of
// a plain service in 3 data centres, with 6 VMs and 10 workspaces, 2 of them large.
// The first part measures recovery, with replicas that crash under load. The second part
// measures throughput, with demand for every slot.
func sizes(ctx context.Context, t *Trial) error {
	recovered := newDistribution()
	s, err := newDeploymentSystem(ctx, recovered)
	if err != nil {
		return err
	}
	defer s.close()
	if err := s.measureRecovery(ctx, t, recovered); err != nil {
		return err
	}
	if err := s.measureThroughput(ctx, t); err != nil {
		return err
	}
	s.reportViolations(t)
	return nil
}

// newDeploymentSystem returns a system of this size. recovered receives the times from a
// failure to the next token.
func newDeploymentSystem(ctx context.Context, recovered *distribution) (*system, error) {
	s, err := newSystem(ctx, deploymentVMs, func(o *node.Options) { o.Generation.OnRecovered = recovered.add })
	if err != nil {
		return nil, err
	}
	model := &config.Model{Name: modelName, Layers: deploymentLayers, Versions: []string{modelVersion}, ActivationBytes: 16 << 10}
	if err := s.applyModel(ctx, model); err != nil {
		return s.orClose(err)
	}
	if err := s.addDeploymentEngines(ctx, model); err != nil {
		return s.orClose(err)
	}
	for number := range deploymentInstances {
		_, err := s.AddService(ctx, servicesim.Options{
			Name: fmt.Sprintf("permits-%d", number), Service: serviceName, Slots: deploymentCallSlots, ServiceTime: deploymentCallTime,
		}, dataCentre(number))
		if err != nil {
			return s.orClose(err)
		}
	}
	return s.orClose(s.addWorkspaces(ctx))
}

// addDeploymentEngines adds 10 engines with all layers and 15 with each half of the layers.
func (s *system) addDeploymentEngines(ctx context.Context, model *config.Model) error {
	whole := config.LayerRange{From: 0, To: deploymentLayers}
	first := config.LayerRange{From: 0, To: deploymentLayers / 2}
	second := config.LayerRange{From: deploymentLayers / 2, To: deploymentLayers}
	for i, layerRange := range []config.LayerRange{whole, first, second} {
		count := replicasPerHalf
		if layerRange == whole {
			count = wholeReplicas
		}
		for number := range count {
			_, err := s.AddEngine(ctx, enginesim.Options{
				Name: engineName(i, number), Model: model, Version: modelVersion, Layers: layerRange, Slots: deploymentSlots,
				LayerTokensPerSecond: deploymentLayerRate, TokenLatency: deploymentLatency,
			}, dataCentre(number), "a100")
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// addWorkspaces adds the workspaces, each with its own profiles.
func (s *system) addWorkspaces(ctx context.Context) error {
	for number := range deploymentWorkspaces {
		name := workspaceName(number)
		if err := s.Apply(ctx, config.EntityWorkspace, name, &config.Workspace{Name: name, Weight: 1}); err != nil {
			return err
		}
		profiles := []*config.Profile{
			generationProfile("summary-"+name, config.Bulk, time.Minute),
			generationProfile("permit-check-"+name, config.Urgent, 10*time.Second),
			callProfile("lockout-"+name, config.Urgent, false, 5*time.Second),
		}
		for _, p := range profiles {
			p.Workspace = name
			if err := s.Apply(ctx, config.EntityProfile, p.Name, p); err != nil {
				return err
			}
		}
	}
	return nil
}

func workspaceName(number int) string { return fmt.Sprintf("w%d", number) }

// allCallers returns a client of each VM.
func (s *system) allCallers() []callclient.Client {
	callers := make([]callclient.Client, len(s.Nodes))
	for i := range callers {
		callers[i] = s.client(i)
	}
	return callers
}
