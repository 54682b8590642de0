package confstore

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/invariant"
)

// fixture holds a table and an object store that several VMs share.
type fixture struct {
	t       *testing.T
	table   *fakeTable
	objects *fakeObjects
}

// newFixture returns a fixture with an empty table and an empty object store.
func newFixture(t *testing.T) *fixture {
	return &fixture{t: t, table: newFakeTable(), objects: newFakeObjects()}
}

// store returns the store of a VM with default options.
func (f *fixture) store(vm string) *Store { return f.storeWith(vm, Options{}) }

// storeWith returns the store of a VM with the options.
func (f *fixture) storeWith(vm string, o Options) *Store {
	o.Table, o.Objects, o.VM, o.Invariants = f.table, f.objects, vm, invariant.Strict()
	return New(o)
}

// mustPropose commits a proposal and fails the test on an error.
func (f *fixture) mustPropose(s *Store, p Proposal) config.Change {
	f.t.Helper()
	change, err := s.Propose(context.Background(), p)
	if err != nil {
		f.t.Fatalf("propose %s %s: %v", p.Kind, p.Name, err)
	}
	return change
}

// withProfile creates a workspace and the call profile "permits" and returns the
// profile's revision.
func (f *fixture) withProfile(s *Store) uint64 {
	f.t.Helper()
	f.mustPropose(s, workspaceProposal("crews", 0, 1))
	return f.mustPropose(s, permitsProposal("create", 0, time.Second)).Version
}

// workspaceProposal returns a proposal that sets the weight of a workspace.
func workspaceProposal(name string, revision uint64, weight int) Proposal {
	return Proposal{
		ID: fmt.Sprintf("%s-%d-%d", name, revision, weight), Author: "ana",
		Kind: config.EntityWorkspace, Name: name, IfRevision: revision,
		Value: fmt.Appendf(nil, `{"weight":%d}`, weight),
	}
}

// permitsProposal returns a proposal that sets the deadline of the profile "permits".
func permitsProposal(id string, revision uint64, deadline time.Duration) Proposal {
	value := fmt.Sprintf(`{"workspace":"crews","class":"call","urgency":"urgent","service":"permisos",`+
		`"path":"/permits","deadline":%q,"limits":{}}`, deadline)
	return Proposal{
		ID: id, Author: "ana", Kind: config.EntityProfile, Name: "permits",
		Value: json.RawMessage(value), IfRevision: revision,
	}
}

// deadlineOf returns the deadline of the profile "permits" that is in force.
func deadlineOf(s *Store) time.Duration {
	return time.Duration(s.Current().Profiles["permits"].Deadline)
}
