package node

import (
	"context"
	"encoding/json"
	"sort"

	"github.com/google/uuid"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/confstore"
)

// reloadAuthor is the author of the changes that keep work off a target while it
// is reloaded.
const reloadAuthor = "orders"

// reloadDrainer implements orders.Drainer by changes of the configuration: the
// target's entry says that it is reloading, so the state outlives this VM and is
// in force on every VM like any other change.
type reloadDrainer struct {
	store     announcingStore
	confirmer confstore.Confirmer
}

// Drain implements orders.Drainer.
func (d *reloadDrainer) Drain(ctx context.Context, target string) error {
	return d.move(ctx, target, config.StateActive, config.StateReloading)
}

// Resume implements orders.Drainer. An operator who drained the target meanwhile
// changed the state, which is then left alone.
func (d *reloadDrainer) Resume(ctx context.Context, target string) error {
	return d.move(ctx, target, config.StateReloading, config.StateActive)
}

func (d *reloadDrainer) move(ctx context.Context, name string, from, to config.TargetState) error {
	target, ok := d.store.Current().Targets[name]
	if !ok || target.State != from {
		return nil
	}
	moved := *target
	moved.State = to
	value, err := json.Marshal(&moved)
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
