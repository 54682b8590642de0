package peer

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"geraniumcroft/internal/membership"
	"geraniumcroft/internal/peer/peerpb"
)

// errDropped answers a message that must be ignored: it is from an earlier process of the VM, or
// its sender has the name of this VM.
var errDropped = status.Error(codes.FailedPrecondition, "message of an earlier life of the VM, or of this VM's own name")

// newEnvelope returns the envelope for a message to a VM, with up to limit rumours and a few
// members in rotation.
func (n *Node) newEnvelope(to string, limit int) *peerpb.Envelope {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.SetVersion(n.options.Store.InForceVersion())
	return envelopeOf(n.table.Self(), n.table.Gossip(to, limit))
}

// newFullEnvelope returns an envelope with updates about all members that may serve.
func (n *Node) newFullEnvelope() *peerpb.Envelope {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.SetVersion(n.options.Store.InForceVersion())
	return envelopeOf(n.table.Self(), n.table.FullState())
}

// acceptEnvelope merges the envelope of a received message into the membership. It reports false if
// the message must be dropped.
func (n *Node) acceptEnvelope(e *peerpb.Envelope) bool {
	if len(e.GetUpdates()) > maxUpdatesAccepted {
		return false
	}
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.table.RecordMessage(identityOf(e), now) {
		n.counters.Dropped++
		return false
	}
	n.table.Merge(updatesOf(e.GetUpdates()), now)
	return true
}

// acceptAnswer merges the envelope of an answer. It fails with errOtherVM if the answer is not from
// the VM that was asked: the addresses of dead VMs are assigned to new ones, and if the answers of
// a new VM counted for the dead one, changes would wait for the dead one for good. An empty name
// accepts any VM.
func (n *Node) acceptAnswer(name string, e *peerpb.Envelope) error {
	if !n.acceptEnvelope(e) {
		return errDropped
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastAnswer = time.Now()
	if name != "" && e.GetVm() != name {
		return errOtherVM
	}
	return nil
}

// errOtherVM reports that the address now belongs to another VM.
var errOtherVM = errors.New("address belongs to another VM")

func envelopeOf(self membership.Identity, updates []membership.Update) *peerpb.Envelope {
	e := &peerpb.Envelope{
		Vm:          self.Name,
		Incarnation: uint64(self.Incarnation),
		Address:     self.Address,
		DataCentre:  self.DataCentre,
		Leaving:     self.Leaving,
		Version:     self.Version,
		Updates:     make([]*peerpb.Update, len(updates)),
	}
	for i, u := range updates {
		e.Updates[i] = &peerpb.Update{
			Vm:          u.Name,
			Incarnation: uint64(u.Incarnation),
			Version:     u.Version,
			VersionOnly: u.VersionOnly,
			Address:     u.Address,
			DataCentre:  u.DataCentre,
			State:       peerpb.State(u.State),
			Leaving:     u.Leaving,
		}
	}
	return e
}

func identityOf(e *peerpb.Envelope) membership.Identity {
	return membership.Identity{
		Name:        e.GetVm(),
		Address:     e.GetAddress(),
		DataCentre:  e.GetDataCentre(),
		Incarnation: membership.Incarnation(e.GetIncarnation()),
		Leaving:     e.GetLeaving(),
		Version:     e.GetVersion(),
	}
}

func updatesOf(updates []*peerpb.Update) []membership.Update {
	converted := make([]membership.Update, len(updates))
	for i, u := range updates {
		converted[i] = membership.Update{
			Name:        u.GetVm(),
			Incarnation: membership.Incarnation(u.GetIncarnation()),
			Version:     u.GetVersion(),
			VersionOnly: u.GetVersionOnly(),
			Address:     u.GetAddress(),
			DataCentre:  u.GetDataCentre(),
			State:       membership.State(u.GetState()),
			Leaving:     u.GetLeaving(),
		}
	}
	return converted
}
