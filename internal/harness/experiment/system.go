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
	setupTimeout = time.Minute
	workspace    = "substations"
	modelName    = "grid"
	modelVersion = "1"
	serviceName  = "permits"
	maxIdleConns = 1024
)

// system is the system under test: a fleet and the HTTP client of its callers.
type system struct {
	*rig.Fleet
	http       *http.Client
	violations atomic.Int64
}

// newSystem starts a fleet with one workspace. adjust, if not nil, may change the options of
// each router.
func newSystem(ctx context.Context, routers int, adjust func(*node.Options)) (*system, error) {
	ctx, cancel := context.WithTimeout(ctx, setupTimeout)
	defer cancel()
	s := &system{http: newHTTPClient()}
	fleet, err := rig.Start(ctx, rig.Options{
		Routers: routers, Adjust: adjust,
		OnViolation: func(invariant.Violation) { s.violations.Add(1) },
	})
	if err != nil {
		return nil, err
	}
	s.Fleet = fleet
	return s.orClose(s.Apply(ctx, config.EntityWorkspace, workspace, &config.Workspace{Name: workspace, Weight: 1}))
}

// orClose returns the system, or closes it if its set-up has failed.
func (s *system) orClose(err error) (*system, error) {
	if err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// newHTTPClient returns an HTTP client for callers, with persistent connections.
func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}}
}

func (s *system) close() {
	s.http.CloseIdleConnections()
	s.Stop()
}

// reportViolations adds the number of violated invariants to the report.
func (s *system) reportViolations(t *Trial) {
	t.limited("violated invariants", "", float64(s.violations.Load()), atMost(0))
}

// client returns a client of one VM; numbers above the last VM start again at the first.
func (s *system) client(number int) callclient.Client {
	return callclient.Client{Address: s.Nodes[number%len(s.Nodes)].CallersAddress(), HTTP: s.http}
}

func (s *system) applyModel(ctx context.Context, m *config.Model) error {
	return s.Apply(ctx, config.EntityModel, m.Name, m)
}

// generationProfile returns a profile for the only model of a system.
func generationProfile(name string, u config.Urgency, deadline time.Duration) *config.Profile {
	return &config.Profile{
		Name: name, Class: config.ClassGeneration, Urgency: u, Idempotent: true,
		Models: []config.ModelRef{{Model: modelName, Version: modelVersion}}, Deadline: config.Duration(deadline),
	}
}

// callProfile returns a profile for the only plain service of a system.
func callProfile(name string, u config.Urgency, idempotent bool, deadline time.Duration) *config.Profile {
	return &config.Profile{
		Name: name, Class: config.ClassCall, Urgency: u, Idempotent: idempotent,
		Service: serviceName, Path: "/" + name, Deadline: config.Duration(deadline),
	}
}

func (s *system) applyProfiles(ctx context.Context, profiles ...*config.Profile) error {
	for _, p := range profiles {
		p.Workspace = workspace
		if err := s.Apply(ctx, config.EntityProfile, p.Name, p); err != nil {
			return err
		}
	}
	return nil
}
