package platform

import "context"

// Purpose is what a call to the store is made for. Calls are counted by purpose.
type Purpose uint8

const (
	// PurposeOther is the purpose of calls that do not set one.
	PurposeOther Purpose = iota
	// PurposeFeed is for calls that wait for changes of an operator's table.
	PurposeFeed
	// PurposeConfirm is for calls that check whether the copy of such a table is current.
	PurposeConfirm
	// PurposeReadAll is for reads of such a whole table.
	PurposeReadAll
	// PurposeVMs is for reads of the list of VMs and writes of this VM's row in it.
	PurposeVMs
	// PurposeLease is for reading, acquiring and renewing leases.
	PurposeLease
	// PurposeProbe is for probes of a store that failed.
	PurposeProbe
	// PurposeQuarantine is for reads and writes of quarantined requests.
	PurposeQuarantine
)

// PurposeCount is the number of purposes, for arrays indexed by Purpose.
const PurposeCount = 8

// String returns the purpose's name as shown in metrics, dump and log.
func (p Purpose) String() string {
	names := [PurposeCount]string{"other", "feed", "confirm", "read_all", "vms", "lease", "probe", "quarantine"}
	return names[p]
}

type purposeKey struct{}

// WithPurpose returns a context whose calls to the store are counted under p.
func WithPurpose(ctx context.Context, p Purpose) context.Context {
	return context.WithValue(ctx, purposeKey{}, p)
}

// PurposeOf returns the context's purpose, PurposeOther if none is set.
func PurposeOf(ctx context.Context) Purpose {
	p, _ := ctx.Value(purposeKey{}).(Purpose)
	return p
}
