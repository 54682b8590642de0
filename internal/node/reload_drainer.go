package node

import (
	"context"
	"encoding/json"
	"sort"

	"github.com/google/uuid"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/confstore"
)

// reloadAuthor is the author of the changes that withhold work from a target while it is reloaded.
const reloadAuthor = "orders"

// reloadDrainer implements orders.Drainer with configuration changes. The target's entry has the
// state reloading, so the state outlives this VM and is in force on every VM like any other change.
type reloadDrainer struct {
	store     announcingStore
	confirmer confstore.Confirmer
}

// Drain implements orders.Drainer.
func (d *reloadDrainer) Drain(ctx context.Context, target string) error {
	return d.setState(ctx, target, config.StateActive, config.StateReloading)
}

// Resume implements orders.Drainer. If an operator has drained the target in the meantime, the
// state is no longer reloading and is not changed.
func (d *reloadDrainer) Resume(ctx context.Context, target string) error {
	return d.setState(ctx, target, config.StateReloading, config.StateActive)
}

// setState proposes a change of the target's state. It does nothing if the target does not exist or
// is not in the state from.
func (d *reloadDrainer) setState(ctx context.Context, name string, from, to config.TargetState) error {
	target, ok := d.store.Current().Targets[name]
	if !ok || target.State != from {
		return nil
	}
	changed := *target
	changed.State = to
	value, err := json.Marshal(&changed)
	if err != nil {
		return err
	}
	_, err = d.store.Propose(ctx, confstore.Proposal{
		ID: uuid.NewString(), Author: reloadAuthor, Kind: config.EntityTarget,
		Name: name, Value: value, IfRevision: target.Revision,
	})
	return err
}

// Drained implements orders.Drainer.
func (d *reloadDrainer) Drained(_ context.Context, target string) (bool, error) {
	entry, ok := d.store.Current().Targets[target]
	if !ok || entry.TakesWork() {
		return false, nil
	}
	_, missing := d.confirmer.InForce(entry.Revision)
	return len(missing) == 0, nil
}

// Draining implements orders.Drainer.
func (d *reloadDrainer) Draining(context.Context) ([]string, error) {
	var names []string
	for name, target := range d.store.Current().Targets {
		if target.State == config.StateReloading {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names, nil
}
