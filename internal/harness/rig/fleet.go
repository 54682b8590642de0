// Package rig starts a complete fleet in one process on loopback addresses: routers,
// and stand-ins for the platform, engines and plain services. The demo, the load
// measurements and the integration tests of routers use it.
package rig

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"geraniumcroft/internal/adminapi"
	"geraniumcroft/internal/config"
	"geraniumcroft/internal/confstore"
	"geraniumcroft/internal/harness/standin/enginesim"
	"geraniumcroft/internal/harness/standin/platformsim"
	"geraniumcroft/internal/harness/standin/servicesim"
	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/node"
	"geraniumcroft/internal/platform"
	"geraniumcroft/internal/settings"
)

const loopback = "127.0.0.1:0"

// AdminToken is the operator token that every router of a fleet accepts.
const AdminToken = "rig-operator"

// Options configure a Fleet.
type Options struct {
	// Routers is the number of entry VMs that Start starts.
	Routers int
	// LogOut receives the logs of the routers; nil discards them.
	LogOut io.Writer
	// OnViolation is called for each violated invariant.
	OnViolation func(invariant.Violation)
	// Adjust, if not nil, changes the options of each router before it is created.
	Adjust func(*node.Options)
}

// Fleet is a running fleet. It is not safe for concurrent use.
type Fleet struct {
	Platform *platformsim.Server
	Nodes    []*node.Node
	Engines  map[string]*enginesim.Engine
	Services map[string]*servicesim.Service

	options Options
	started int           // number of routers started
	vms     []platform.VM // the platform's VM list
}

// Start starts the platform and the routers and waits until the routers are ready. If it fails, nothing is
// left running.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	sim, err := platformsim.Start(loopback)
	if err != nil {
		return nil, err
	}
	f := &Fleet{Platform: sim, Engines: map[string]*enginesim.Engine{}, Services: map[string]*servicesim.Service{}, options: o}
	if err := f.startRouters(ctx); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startRouters(ctx context.Context) error {
	for range f.options.Routers {
		if _, err := f.AddRouter(); err != nil {
			return err
		}
	}
	return f.AwaitReady(ctx)
}

// AddRouter starts another router and adds it to the platform's VM list. It does not
// wait until the router is ready.
func (f *Fleet) AddRouter() (*node.Node, error) {
	f.started++
	options := node.Options{
		Settings: f.settings(fmt.Sprintf("entry-%d", f.started)), Version: "rig", LogOut: f.options.LogOut,
		Authenticator: authenticator{}, OnViolation: f.options.OnViolation,
	}
	if f.options.Adjust != nil {
		f.options.Adjust(&options)
	}
	n, err := node.New(options)
	if err != nil {
		return nil, err
	}
	f.Nodes = append(f.Nodes, n)
	f.vms = append(f.vms, platform.VM{
		Name: options.Settings.VM.Name, Address: "127.0.0.1", DataCentre: options.Settings.VM.DataCentre,
		Role: "entry", PeerAddress: n.PeerAddress(),
	})
	f.Platform.SetVMs(f.vms...)
	return n, n.Start()
}

// settings returns the settings of a router.
func (f *Fleet) settings(name string) *settings.Settings {
	text := fmt.Sprintf(`
[vm]
name = %s
data_centre = dc-%d
[callers]
address = %s
plain = true
[admin]
address = %s
tokens_file = unused
plain = true
[peers]
address = %s
seeds = %s
plain = true
[platform]
table = %s
objects = %s
vm_list = %s
timeout = 1s
[targets]
report_interval = 100ms
[shutdown]
unready_wait = 100ms
[log]
level = warn
format = console
`, name, f.started%3, loopback, loopback, loopback, f.seeds(), f.Platform.URL(), f.Platform.URL(), f.Platform.URL())
	parsed, findings := settings.Parse("rig.ini", []byte(text))
	if len(findings) > 0 {
		panic(fmt.Sprint("settings of the rig: ", findings))
	}
	return parsed
}

// seeds returns the setting peers.seeds: the peers that a VM tries while the platform's
// VM list cannot be read.
func (f *Fleet) seeds() string {
	var addresses []string
	for _, n := range f.Nodes {
		addresses = append(addresses, n.PeerAddress())
	}
	return strings.Join(addresses, ", ")
}

// AwaitReady waits until every router has read the configuration in force.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	for _, n := range f.Nodes {
		select {
		case <-n.Ready():
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "router not ready")
		}
	}
	return nil
}

// Apply proposes an entity at the first router and waits until it is in force on all
// routers. It returns an error if the change is committed but not in force on some of
// them.
func (f *Fleet) Apply(ctx context.Context, kind config.EntityKind, name string, entity any) error {
	value, err := json.Marshal(entity)
	if err != nil {
		return err
	}
	_, revision := f.Nodes[0].Store().Current().Entity(kind, name)
	accepted, err := f.Nodes[0].Change(ctx, confstore.Proposal{
		ID: uuid.NewString(), Author: "rig", Kind: kind, Name: name, Value: value,
		IfRevision: revision,
	})
	if err != nil {
		return errors.Wrapf(err, "%s %s", kind, name)
	}
	if !accepted.Accepted {
		return fmt.Errorf("%s %s is not in force on %v", kind, name, accepted.Missing)
	}
	return nil
}

// AddEngine starts an engine and adds it to the configuration as a target.
func (f *Fleet) AddEngine(ctx context.Context, o enginesim.Options, dataCentre, accelerator string, links ...config.Link) (*enginesim.Engine, error) {
	e := enginesim.New(o)
	if err := e.Start(loopback); err != nil {
		return nil, err
	}
	f.Engines[o.Name] = e
	target := e.Target()
	target.DataCentre, target.Accelerator, target.Links = dataCentre, accelerator, links
	return e, f.Apply(ctx, config.EntityTarget, o.Name, target)
}

// AddService starts an instance of a plain service and adds it to the configuration as
// a target.
func (f *Fleet) AddService(ctx context.Context, o servicesim.Options, dataCentre string) (*servicesim.Service, error) {
	s := servicesim.New(o)
	if err := s.Start(loopback); err != nil {
		return nil, err
	}
	f.Services[o.Name] = s
	target := s.Target()
	target.DataCentre = dataCentre
	return s, f.Apply(ctx, config.EntityTarget, o.Name, target)
}

// Stop stops the routers gracefully, one after the other and within 10 s in total, and
// then the stand-ins.
func (f *Fleet) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for _, n := range f.Nodes {
		n.Stop(ctx)
	}
	for _, e := range f.Engines {
		e.Close()
	}
	for _, s := range f.Services {
		s.Close()
	}
	f.Platform.Close()
}

// authenticator accepts AdminToken and no other token.
type authenticator struct{}

// Authenticate implements adminapi.Authenticator.
func (authenticator) Authenticate(token string) (string, adminapi.Role, bool) {
	return "operator", adminapi.RoleOperate, token == AdminToken
}
