package experiment

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/harness/callclient"
	"geraniumcroft/internal/harness/rig"
	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/node"
)

const (
	setUpTimeout = time.Minute
	workspace    = "substations"
	modelName    = "grid"
	modelVersion = "1"
	serviceName  = "permits"
	keptConns    = 1024
)

// scene is a fleet with the callers' side of it.
type scene struct {
	*rig.Fleet
	http       *http.Client
	violations atomic.Int64
}

func newScene(ctx context.Context, routers int, adjust func(*node.Options)) (*scene, error) {
	ctx, cancel := context.WithTimeout(ctx, setUpTimeout)
	defer cancel()
	s := &scene{http: newCaller()}
	fleet, err := rig.Start(ctx, rig.Options{
		Routers: routers, Adjust: adjust,
		OnViolation: func(invariant.Violation) { s.violations.Add(1) },
	})
	if err != nil {
		return nil, err
	}
	s.Fleet = fleet
	return s, s.Apply(ctx, config.EntityWorkspace, workspace, &config.Workspace{Name: workspace, Weight: 1})
}

// newCaller returns a caller's HTTP client, which keeps its connections.
func newCaller() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: keptConns, DisableCompression: true}}
}

func (s *scene) close() {
	s.http.CloseIdleConnections()
	s.Stop()
}

// finish adds the violated invariants to the report.
func (s *scene) finish(t *Trial) {
	t.limited("violated invariants", "", float64(s.violations.Load()), atMost(0))
}

func (s *scene) client(number int) callclient.Client {
	return callclient.Client{Address: s.Nodes[number%len(s.Nodes)].CallersAddress(), HTTP: s.http}
}

func (s *scene) applyModel(ctx context.Context, m *config.Model) error {
	return s.Apply(ctx, config.EntityModel, m.Name, m)
}

// generationProfile returns a profile of the one model of a scene.
func generationProfile(name string, u config.Urgency, deadline time.Duration) *config.Profile {
	return &config.Profile{
		Name: name, Class: config.ClassGeneration, Urgency: u, Idempotent: true,
		Models: []config.ModelRef{{Model: modelName, Version: modelVersion}}, Deadline: config.Duration(deadline),
	}
}

// callProfile returns a profile of the one plain service of a scene.
func callProfile(name string, u config.Urgency, idempotent bool, deadline time.Duration) *config.Profile {
	return &config.Profile{
		Name: name, Class: config.ClassCall, Urgency: u, Idempotent: idempotent,
		Service: serviceName, Path: "/" + name, Deadline: config.Duration(deadline),
	}
}

func (s *scene) applyProfiles(ctx context.Context, profiles ...*config.Profile) error {
	for _, p := range profiles {
		p.Workspace = workspace
		if err := s.Apply(ctx, config.EntityProfile, p.Name, p); err != nil {
			return err
		}
	}
	return nil
}
