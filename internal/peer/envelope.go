package peer

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"geraniumcroft/internal/membership"
	"geraniumcroft/internal/peer/peerpb"
)

// errDropped answers a message that must not be acted on.
var errDropped = status.Error(codes.FailedPrecondition, "message of an earlier life of the VM, or of this VM's own name")

// seal returns the envelope of a message to a VM.
func (n *Node) seal(to string, limit int) *peerpb.Envelope {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.SetVersion(n.options.Store.InForceVersion())
	return envelopeOf(n.table.Self(), n.table.Gossip(to, limit))
}

// sealForJoiner returns an envelope with all members.
func (n *Node) sealForJoiner() *peerpb.Envelope {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.SetVersion(n.options.Store.InForceVersion())
	return envelopeOf(n.table.Self(), n.table.FullState())
}

// open takes in an envelope. It reports false for a message that must be dropped.
func (n *Node) open(e *peerpb.Envelope) bool {
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

// openAnswer takes in the envelope of an answer. It fails when another VM
// answered than was asked: addresses are given to new VMs, and a dead VM whose
// address answers would be waited for for good. An empty name accepts any.
func (n *Node) openAnswer(name string, e *peerpb.Envelope) error {
	if !n.open(e) {
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

// errOtherVM reports that an address now belongs to another VM.
var errOtherVM = errors.New("another VM answers at the address")

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
