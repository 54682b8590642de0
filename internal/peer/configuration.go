package peer

import (
	"encoding/json"

	"go.uber.org/zap"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/peer/peerpb"
)

// configurationAfter returns what a VM at the given version lacks: changes if the store still has
// them, otherwise a snapshot. It returns nil if nothing is lacking or encoding fails.
func (n *Node) configurationAfter(version uint64) *peerpb.Configuration {
	current := n.options.Store.Current()
	if version >= current.Version {
		return nil
	}
	if changes, ok := n.options.Store.ChangesAfter(version, maxChangesPerMessage); ok && len(changes) > 0 {
		return n.encodeChanges(changes)
	}
	encoded, err := n.snapshot.encode(current)
	if err != nil {
		n.log.Error("cannot encode the snapshot", zap.Uint64("version", current.Version), zap.Error(err))
		return nil
	}
	return &peerpb.Configuration{Snapshot: encoded}
}

func (n *Node) encodeChanges(changes []config.Change) *peerpb.Configuration {
	encoded, err := json.Marshal(changes)
	if err != nil {
		n.log.Error("cannot encode changes", zap.Error(err))
		return nil
	}
	return &peerpb.Configuration{Changes: encoded}
}

// apply applies changes or a snapshot and reports whether the version has risen. The store skips
// what is already in force, so a delayed message has no effect.
func (n *Node) apply(c *peerpb.Configuration) bool {
	if c == nil {
		return false
	}
	before := n.options.Store.Current().Version
	n.applyChanges(c.GetChanges())
	n.installSnapshot(c.GetSnapshot())
	after := n.options.Store.Current().Version
	n.options.Invariants.Check(after >= before, invariant.VersionNeverFalls,
		"the version fell from %d to %d on a peer's message", before, after)
	return after > before
}

func (n *Node) applyChanges(encoded []byte) {
	if len(encoded) == 0 {
		return
	}
	var changes []config.Change
	if err := json.Unmarshal(encoded, &changes); err != nil {
		n.log.Error("cannot decode a peer's changes", zap.Error(err))
		return
	}
	if _, err := n.options.Store.ApplyChanges(changes); err != nil {
		n.log.Info("cannot apply a peer's changes", zap.Error(err))
		return
	}
	n.count(func(c *Counters) *uint64 { return &c.ChangesReceived })
}

func (n *Node) installSnapshot(encoded []byte) {
	if len(encoded) == 0 {
		return
	}
	snapshot := config.NewSnapshot()
	if err := json.Unmarshal(encoded, snapshot); err != nil {
		n.log.Error("cannot decode a peer's snapshot", zap.Error(err))
		return
	}
	n.options.Store.InstallSnapshot(snapshot)
	n.count(func(c *Counters) *uint64 { return &c.Snapshots })
}
