// Package platform is the system's view of the platform's services: a
// transactional table, an object store and a lagging list of VMs.
//
// Everything that must outlive a VM is kept there. The services have outages and
// an answer can be lost after the write took effect, so each error says which of
// three things happened: the write was refused and did not take effect
// (ErrRefused), the service was not reached and it did not take effect
// (ErrUnavailable), or it may have taken effect (ErrAmbiguous).
package platform

import (
	"context"
	"time"
)

// Table is the transactional table service.
type Table interface {
	// Commit applies all writes of the transaction, or none. It returns nil once
	// they are applied, a *RefusedError when a condition does not hold, and errors
	// marked ErrUnavailable or ErrAmbiguous otherwise.
	Commit(ctx context.Context, txn Txn) error
	// Get returns the rows of the keys, at one moment. A key that has no row is
	// returned as a Row with Revision 0.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns up to limit rows with from <= key < to, in order of key.
	Scan(ctx context.Context, from, to string, limit int) ([]Row, error)
}

// Objects is the object store.
type Objects interface {
	// Put stores an object under a name; an existing one is replaced.
	Put(ctx context.Context, name string, body []byte) error
	// Fetch returns the object, or an error marked ErrNotFound.
	Fetch(ctx context.Context, name string) ([]byte, error)
}

// VMList is the platform's list of live and leaving machines. It lags.
type VMList interface {
	// VMs returns the list as the platform has it.
	VMs(ctx context.Context) ([]VM, error)
}

// Row is one row of the table.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision rises with each write of the row; 0 means that there is no row.
	Revision uint64 `json:"revision"`
	// TxnID is the transaction that last wrote the row.
	TxnID string `json:"txnId"`
}

// Txn is one transaction: if all conditions hold, all writes are applied.
type Txn struct {
	// ID is unique to the transaction and chosen by the writer. It is kept with each
	// row that the transaction writes.
	ID         string      `json:"id"`
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
	// Witness decides what became of the transaction after a lost answer when none of
	// its rows carries its ID; it may be nil. It stays on the writer's side.
	Witness Witness `json:"-"`
}

// Condition demands that a row is at a revision; 0 demands that there is no row.
type Condition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// Write sets or deletes one row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// VM is one machine of the platform's list. Targets' machines are listed as well
// as the system's own.
type VM struct {
	Name string `json:"name"`
	// Address is an IP number without a port.
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	// Role is "entry" for the system's own VMs and "target" for targets' VMs.
	Role    string `json:"role"`
	Leaving bool   `json:"leaving"`
	// Since is when the platform learned of the present state.
	Since time.Time `json:"since"`
	// PeerAddress is IP:port of an entry VM's peer listener.
	PeerAddress string `json:"peerAddress,omitempty"`
}
