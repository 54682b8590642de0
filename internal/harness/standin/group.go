package standin

import (
	"encoding/json"
	"io"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/harness/standin/platformsim"
	"geraniumcroft/internal/platform"
)

// Group holds the stand-ins that one file describes.
type Group struct {
	platformAddress string
	models          map[string]*config.Model
	vms             []platform.VM
	engines         []engineInstance
	services        []serviceInstance

	platform *platformsim.Server
}

// Start starts all stand-ins. If one fails to start, it closes the others.
func (g *Group) Start() error {
	sim, err := platformsim.Start(g.platformAddress)
	if err != nil {
		return errors.Wrap(err, "platform")
	}
	g.platform = sim
	sim.SetVMs(g.vms...)
	for _, instance := range g.engines {
		err = errors.CombineErrors(err, errors.Wrap(instance.engine.Start(instance.address), instance.engine.Name()))
	}
	for _, instance := range g.services {
		err = errors.CombineErrors(err, errors.Wrap(instance.service.Start(instance.address), instance.address))
	}
	if err != nil {
		g.Close()
	}
	return err
}

// Close stops all stand-ins.
func (g *Group) Close() {
	for _, instance := range g.engines {
		instance.engine.Close()
	}
	for _, instance := range g.services {
		instance.service.Close()
	}
	g.platform.Close()
}

// PrintEntities writes the configuration entities (models and targets) that
// describe the stand-ins, one JSON object per line.
func (g *Group) PrintEntities(out io.Writer) error {
	encoder := json.NewEncoder(out)
	for _, name := range slices.Sorted(maps.Keys(g.models)) {
		if err := encoder.Encode(entity{config.EntityModel, name, g.models[name]}); err != nil {
			return err
		}
	}
	for _, target := range g.targets() {
		if err := encoder.Encode(entity{config.EntityTarget, target.Name, target}); err != nil {
			return err
		}
	}
	return nil
}

func (g *Group) targets() []*config.Target {
	var targets []*config.Target
	for _, instance := range g.engines {
		target := instance.engine.Target()
		target.DataCentre, target.Accelerator = instance.dataCentre, instance.accelerator
		targets = append(targets, target)
	}
	for _, instance := range g.services {
		target := instance.service.Target()
		target.DataCentre = instance.dataCentre
		targets = append(targets, target)
	}
	return targets
}
