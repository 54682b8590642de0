package standin

import (
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/harness/standin/enginesim"
	"geraniumcroft/internal/harness/standin/servicesim"
	"geraniumcroft/internal/platform"
)

// The kinds of sections, in the order in which they are read. Models come before
// engines, which refer to them.
const (
	sectionPlatform = "platform"
	sectionVM       = "vm"
	sectionModel    = "model"
	sectionEngine   = "engine"
	sectionService  = "service"
)

var sectionKinds = []string{sectionPlatform, sectionVM, sectionModel, sectionEngine, sectionService}

// Load reads a stand-in file. Its sections are "platform" and, each followed by a
// name, "vm", "model", "engine" and "service". The error is a *FileError unless the
// file could not be read or parsed at all.
func Load(file string) (*Group, error) {
	parsed, err := ini.Load(file)
	if err != nil {
		return nil, err
	}
	byKind := map[string][]*section{}
	var findings []config.Finding
	for _, each := range parsed.Sections() {
		s := newSection(each)
		if !known(s) {
			findings = append(findings, config.Finding{Path: each.Name(), Problem: "unknown section", Allowed: strings.Join(sectionKinds, ", ")})
			continue
		}
		byKind[s.kind] = append(byKind[s.kind], s)
	}
	g := &Group{models: map[string]*config.Model{}}
	for _, kind := range sectionKinds {
		for _, s := range byKind[kind] {
			g.add(s)
			findings = append(findings, s.finish()...)
		}
	}
	if len(findings) > 0 {
		return nil, &FileError{File: file, Findings: findings}
	}
	return g, nil
}

// known reports whether a section is of a known kind. The INI library puts keys
// above the first heading into its default section, which must be empty.
func known(s *section) bool {
	if s.kind == ini.DefaultSection {
		return len(s.ini.Keys()) == 0
	}
	return slices.Contains(sectionKinds, s.kind)
}

func (g *Group) add(s *section) {
	switch s.kind {
	case sectionPlatform:
		g.platformAddress = s.text("address", "")
	case sectionVM:
		g.vms = append(g.vms, platform.VM{
			Name: s.name, Address: s.text("address", ""), DataCentre: s.text("data_centre", ""),
			Role: "entry", PeerAddress: s.text("peer_address", ""),
		})
	case sectionModel:
		g.addModel(s)
	case sectionEngine:
		g.addEngine(s)
	case sectionService:
		g.addService(s)
	}
}

func (g *Group) addModel(s *section) {
	versions := get(s, "versions", nil, "", func(text string) ([]string, error) {
		return strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' }), nil
	})
	g.models[s.name] = &config.Model{
		Name: s.name, Layers: s.count("layers", 1), Versions: versions, ActivationBytes: s.count("activation_bytes", 0),
	}
}

func (g *Group) addEngine(s *section) {
	model := g.models[s.text("model", "")]
	if model == nil {
		s.addFinding("model", fmt.Sprintf("there is no model %q", s.text("model", "")), "a model of the file")
		model = &config.Model{}
	}
	e := enginesim.New(enginesim.Options{
		Name: s.name, Model: model, Version: s.text("version", "1"),
		Layers: config.LayerRange{From: s.count("from", 0), To: s.count("to", model.Layers)},
		Slots:  s.count("slots", 0), LayerTokensPerSecond: s.rate("layer_tokens_per_second"),
		TokenLatency: s.duration("token_latency"),
	})
	g.engines = append(g.engines, engineInstance{
		address: s.text("address", ""), dataCentre: s.text("data_centre", ""),
		accelerator: s.text("accelerator", "any"), engine: e,
	})
}

func (g *Group) addService(s *section) {
	service := servicesim.New(servicesim.Options{
		Name: s.name, Service: s.text("service", ""), Slots: s.count("slots", 0), ServiceTime: s.duration("time"),
	})
	g.services = append(g.services, serviceInstance{
		address: s.text("address", ""), dataCentre: s.text("data_centre", ""), service: service,
	})
}
