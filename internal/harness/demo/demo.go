// Package demo demonstrates the product in one process: two routers, stand-ins for the
// platform, the engines and a plain service, and the most important failures.
//
// Each step prints the response that its caller received and how long it took. The demo
// fails unless all responses are correct.
package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/harness/callclient"
	"geraniumcroft/internal/harness/rig"
	"geraniumcroft/internal/harness/standin/enginesim"
	"geraniumcroft/internal/harness/standin/servicesim"
	"geraniumcroft/internal/invariant"
)

const (
	layers               = 24
	splitLayer           = 12
	engineSlots          = 4
	layerTokensPerSecond = 6000.0
	setupTimeout         = 30 * time.Second
	stepTimeout          = 60 * time.Second
)

// Demo is a running fleet and the steps to run on it.
type Demo struct {
	out        io.Writer
	fleet      *rig.Fleet
	violations chan invariant.Violation
}

// New starts and configures the fleet. The demo prints to out.
func New(ctx context.Context, out io.Writer) (*Demo, error) {
	ctx, cancel := context.WithTimeout(ctx, setupTimeout)
	defer cancel()
	d := &Demo{out: out, violations: make(chan invariant.Violation, 64)}
	fleet, err := rig.Start(ctx, rig.Options{Routers: 2, OnViolation: d.onViolation})
	if err != nil {
		return nil, err
	}
	d.fleet = fleet
	return d, d.configure(ctx)
}

// onViolation records a violated invariant for Run. Run needs only one, so it drops those
// that do not fit into the channel.
func (d *Demo) onViolation(v invariant.Violation) {
	select {
	case d.violations <- v:
	default:
	}
}

// Close stops the fleet.
func (d *Demo) Close() { d.fleet.Stop() }

// configure adds a model, a workspace, targets and profiles to the configuration.
func (d *Demo) configure(ctx context.Context) error {
	model := &config.Model{Name: "grid", Layers: layers, Versions: []string{"1"}, ActivationBytes: 16 << 10}
	entities := []struct {
		kind  config.EntityKind
		name  string
		value any
	}{
		{config.EntityModel, "grid", model},
		{config.EntityWorkspace, "substations", &config.Workspace{Name: "substations", Weight: 1}},
	}
	for _, e := range entities {
		if err := d.fleet.Apply(ctx, e.kind, e.name, e.value); err != nil {
			return err
		}
	}
	if err := d.addTargets(ctx, model); err != nil {
		return err
	}
	return d.addProfiles(ctx)
}

// addTargets adds two engines for each half of the layers and two instances of the plain
// service.
func (d *Demo) addTargets(ctx context.Context, model *config.Model) error {
	halves := []config.LayerRange{{From: 0, To: splitLayer}, {From: splitLayer, To: layers}}
	for half, held := range halves {
		for copyOf := range 2 {
			_, err := d.fleet.AddEngine(ctx, enginesim.Options{
				Name: fmt.Sprintf("engine-%d%c", half, 'a'+copyOf), Model: model, Version: "1", Layers: held,
				Slots: engineSlots, LayerTokensPerSecond: layerTokensPerSecond, TokenLatency: 2 * time.Millisecond,
			}, fmt.Sprintf("dc-%d", copyOf), "a100")
			if err != nil {
				return err
			}
		}
	}
	for i := range 2 {
		_, err := d.fleet.AddService(ctx, servicesim.Options{
			Name: fmt.Sprintf("permits-%d", i), Service: "permits", ServiceTime: 5 * time.Millisecond,
		}, fmt.Sprintf("dc-%d", i))
		if err != nil {
			return err
		}
	}
	return nil
}

func (d *Demo) addProfiles(ctx context.Context) error {
	models := []config.ModelRef{{Model: "grid", Version: "1"}}
	profiles := []*config.Profile{
		{Name: "summary", Class: config.ClassGeneration, Urgency: config.Bulk, Idempotent: true, Models: models, Deadline: config.Duration(time.Minute)},
		{Name: "permit-check", Class: config.ClassGeneration, Urgency: config.Urgent, Idempotent: true, Models: models, Deadline: config.Duration(5 * time.Second)},
		{Name: "lockout", Class: config.ClassCall, Urgency: config.Urgent, Service: "permits", Path: "/lockout", Deadline: config.Duration(2 * time.Second)},
	}
	for _, p := range profiles {
		p.Workspace = "substations"
		if err := d.fleet.Apply(ctx, config.EntityProfile, p.Name, p); err != nil {
			return err
		}
	}
	return nil
}

func (d *Demo) client(router int) callclient.Client {
	return callclient.Client{Address: d.fleet.Nodes[router].CallersAddress(), HTTP: &http.Client{}}
}

// Run runs all steps. The error says which response was not correct, or which invariant
// was violated.
func (d *Demo) Run(ctx context.Context) error {
	steps := []struct {
		title string
		run   func(context.Context) error
	}{
		{"a draft over two stages", d.runDraft},
		{"a lockout confirmation, which is not idempotent", d.runCall},
		{"urgent work while drafts fill the engines", d.runUrgentUnderLoad},
		{"a stage dies in the middle of a draft", d.runStageFailure},
		{"the service dies after it has run a confirmation", d.runLostResponse},
		{"an operator drains a target", d.runDrain},
	}
	for number, step := range steps {
		d.printf("\n%d. %s\n", number+1, step.title)
		bounded, cancel := context.WithTimeout(ctx, stepTimeout)
		err := step.run(bounded)
		cancel()
		if err != nil {
			return errors.Wrap(err, step.title)
		}
	}
	select {
	case v := <-d.violations:
		return fmt.Errorf("invariant %s violated: %s", v.Name, v.Detail)
	default:
		d.printf("\nAll of it was right; no invariant was violated.\n")
		return nil
	}
}

func (d *Demo) printf(format string, args ...any) { _, _ = fmt.Fprintf(d.out, format, args...) }

// report prints one response.
func (d *Demo) report(label string, a callclient.Answer) {
	d.printf("   %-28s %d %-8s %3d tokens  first %8s  whole %8s\n", label, a.Status, a.Outcome, len(a.Tokens),
		a.FirstToken.Round(100*time.Microsecond), a.Took.Round(100*time.Microsecond))
}
