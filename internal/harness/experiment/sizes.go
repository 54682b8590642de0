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
	todayLayers     = 16
	todayWhole      = 10
	todayHalves     = 15
	todaySlots      = 8
	todayRate       = 800.0
	todayLatency    = 5 * time.Millisecond
	todayInstances  = 3
	todayCallTime   = 20 * time.Millisecond
	todayCallSlots  = 16
	todayWorkspaces = 10
	largeWorkspaces = 2
)

// sizes runs both users' sizes of today: 40 replicas of a model and 3 of a plain
// service in 3 data centres behind 6 VMs, for 10 workspaces of which 2 are large.
// The first part weighs recovery and lets replicas die under load; the second
// weighs throughput and keeps every slot wanted.
func sizes(ctx context.Context, t *Trial) error {
	recovered := newDistribution()
	s, err := todayScene(ctx, recovered)
	if err != nil {
		return err
	}
	defer s.close()
	if err := s.underDeaths(ctx, t, recovered); err != nil {
		return err
	}
	if err := s.fullHouse(ctx, t); err != nil {
		return err
	}
	s.finish(t)
	return nil
}

func todayScene(ctx context.Context, recovered *distribution) (*scene, error) {
	s, err := newScene(ctx, fleetToday, func(o *node.Options) { o.Generation.OnRecovered = recovered.add })
	if err != nil {
		return nil, err
	}
	model := &config.Model{Name: modelName, Layers: todayLayers, Versions: []string{modelVersion}, ActivationBytes: 16 << 10}
	if err := s.applyModel(ctx, model); err != nil {
		return s, err
	}
	if err := s.addTodaysEngines(ctx, model); err != nil {
		return s, err
	}
	for number := range todayInstances {
		_, err := s.AddService(ctx, servicesim.Options{
			Name: fmt.Sprintf("permits-%d", number), Service: serviceName, Slots: todayCallSlots, ServiceTime: todayCallTime,
		}, dataCentre(number))
		if err != nil {
			return s, err
		}
	}
	return s, s.addWorkspaces(ctx)
}

// addTodaysEngines adds 10 whole replicas and 15 of each half.
func (s *scene) addTodaysEngines(ctx context.Context, model *config.Model) error {
	whole := config.LayerRange{From: 0, To: todayLayers}
	first := config.LayerRange{From: 0, To: todayLayers / 2}
	second := config.LayerRange{From: todayLayers / 2, To: todayLayers}
	for i, held := range []config.LayerRange{whole, first, second} {
		count := todayHalves
		if held == whole {
			count = todayWhole
		}
		for number := range count {
			_, err := s.AddEngine(ctx, enginesim.Options{
				Name: engineName(i, number), Model: model, Version: modelVersion, Layers: held, Slots: todaySlots,
				LayerTokensPerSecond: todayRate, TokenLatency: todayLatency,
			}, dataCentre(number), "a100")
			if err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *scene) addWorkspaces(ctx context.Context) error {
	for number := range todayWorkspaces {
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

func (s *scene) allCallers() []callclient.Client {
	callers := make([]callclient.Client, len(s.Nodes))
	for i := range callers {
		callers[i] = s.client(i)
	}
	return callers
}
