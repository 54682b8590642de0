// Package standin runs stand-ins for what stands around the system, as an INI
// file names them, so that routers can be tried as processes of their own. The
// stand-ins themselves are in the packages below this one.
package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/platform"
	"geraniumcroft/internal/standin/enginesim"
	"geraniumcroft/internal/standin/platformsim"
	"geraniumcroft/internal/standin/servicesim"
)

// Park is the stand-ins of one file.
type Park struct {
	platformAddress string
	models          map[string]*config.Model
	vms             []platform.VM
	engines         []enginePlace
	services        []servicePlace

	platform *platformsim.Server
}

// Load reads the file. Sections are "platform" and, each with a name behind it,
// "vm", "model", "engine" and "service".
func Load(file string) (*Park, error) {
	parsed, err := ini.Load(file)
	if err != nil {
		return nil, err
	}
	p := &Park{models: map[string]*config.Model{}}
	var problems error
	for _, kind := range []string{"platform", "vm", "model", "engine", "service"} {
		for _, section := range parsed.Sections() {
			first, name, _ := strings.Cut(section.Name(), " ")
			if first == kind {
				problems = errors.CombineErrors(problems, p.add(kind, name, section))
			}
		}
	}
	return p, problems
}

func (p *Park) add(kind, name string, s *ini.Section) error {
	switch kind {
	case "platform":
		p.platformAddress = s.Key("address").String()
	case "vm":
		p.vms = append(p.vms, platform.VM{
			Name: name, Address: s.Key("address").String(), DataCentre: s.Key("data_centre").String(),
			Role: "entry", PeerAddress: s.Key("peer_address").String(),
		})
	case "model":
		p.models[name] = &config.Model{
			Name: name, Layers: s.Key("layers").MustInt(1), Versions: s.Key("versions").Strings(","), ActivationBytes: s.Key("activation_bytes").MustInt(0),
		}
	case "engine":
		return p.addEngine(name, s)
	case "service":
		p.addService(name, s)
	}
	return nil
}

func (p *Park) addEngine(name string, s *ini.Section) error {
	model := p.models[s.Key("model").String()]
	if model == nil {
		return fmt.Errorf("engine %s: there is no model %q", name, s.Key("model").String())
	}
	e := enginesim.New(enginesim.Options{
		Name: name, Model: model, Version: s.Key("version").MustString("1"),
		Layers: config.LayerRange{From: s.Key("from").MustInt(0), To: s.Key("to").MustInt(model.Layers)},
		Slots:  s.Key("slots").MustInt(0), LayerTokensPerSecond: s.Key("layer_tokens_per_second").MustFloat64(0),
		TokenLatency: s.Key("token_latency").MustDuration(0),
	})
	p.engines = append(p.engines, enginePlace{
		address: s.Key("address").String(), dataCentre: s.Key("data_centre").String(),
		accelerator: s.Key("accelerator").MustString("any"), engine: e,
	})
	return nil
}

func (p *Park) addService(name string, s *ini.Section) {
	service := servicesim.New(servicesim.Options{
		Name: name, Service: s.Key("service").String(), Slots: s.Key("slots").MustInt(0), ServiceTime: s.Key("time").MustDuration(0),
	})
	p.services = append(p.services, servicePlace{
		address: s.Key("address").String(), dataCentre: s.Key("data_centre").String(), service: service,
	})
}

// Start starts all of them; what was started is ended again on an error.
func (p *Park) Start() error {
	sim, err := platformsim.Start(p.platformAddress)
	if err != nil {
		return errors.Wrap(err, "platform")
	}
	p.platform = sim
	sim.SetVMs(p.vms...)
	for _, place := range p.engines {
		err = errors.CombineErrors(err, errors.Wrap(place.engine.Start(place.address), place.engine.Name()))
	}
	for _, place := range p.services {
		err = errors.CombineErrors(err, errors.Wrap(place.service.Start(place.address), place.address))
	}
	if err != nil {
		p.Close()
	}
	return err
}

// Close ends all of them.
func (p *Park) Close() {
	for _, place := range p.engines {
		place.engine.Close()
	}
	for _, place := range p.services {
		place.service.Close()
	}
	p.platform.Close()
}

// PrintEntities writes the models and targets that describe the stand-ins, one
// JSON object a line.
func (p *Park) PrintEntities(out io.Writer) error {
	encoder := json.NewEncoder(out)
	for name, model := range p.models {
		if err := encoder.Encode(entity{config.EntityModel, name, model}); err != nil {
			return err
		}
	}
	for _, target := range p.targets() {
		if err := encoder.Encode(entity{config.EntityTarget, target.Name, target}); err != nil {
			return err
		}
	}
	return nil
}

func (p *Park) targets() []*config.Target {
	var targets []*config.Target
	for _, place := range p.engines {
		target := place.engine.Target()
		target.DataCentre, target.Accelerator = place.dataCentre, place.accelerator
		targets = append(targets, target)
	}
	for _, place := range p.services {
		target := place.service.Target()
		target.DataCentre = place.dataCentre
		targets = append(targets, target)
	}
	return targets
}
