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

// Group is the stand-ins of one file.
type Group struct {
	platformAddress string
	models          map[string]*config.Model
	vms             []platform.VM
	engines         []enginePlace
	services        []servicePlace

	platform *platformsim.Server
}

// Start starts all of them; what was started is ended again on an error.
func (g *Group) Start() error {
	sim, err := platformsim.Start(g.platformAddress)
	if err != nil {
		return errors.Wrap(err, "platform")
	}
	g.platform = sim
	sim.SetVMs(g.vms...)
	for _, place := range g.engines {
		err = errors.CombineErrors(err, errors.Wrap(place.engine.Start(place.address), place.engine.Name()))
	}
	for _, place := range g.services {
		err = errors.CombineErrors(err, errors.Wrap(place.service.Start(place.address), place.address))
	}
	if err != nil {
		g.Close()
	}
	return err
}

// Close ends all of them.
func (g *Group) Close() {
	for _, place := range g.engines {
		place.engine.Close()
	}
	for _, place := range g.services {
		place.service.Close()
	}
	g.platform.Close()
}

// PrintEntities writes the models and targets that describe the stand-ins, one
// JSON object a line.
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
	for _, place := range g.engines {
		target := place.engine.Target()
		target.DataCentre, target.Accelerator = place.dataCentre, place.accelerator
		targets = append(targets, target)
	}
	for _, place := range g.services {
		target := place.service.Target()
		target.DataCentre = place.dataCentre
		targets = append(targets, target)
	}
	return targets
}
