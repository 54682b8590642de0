package platform

import "context"

// Purpose says what a call to the store is for, so that its calls can be counted by it.
type Purpose uint8

const (
	// PurposeOther is the purpose of a call that names none.
	PurposeOther Purpose = iota
	// PurposeFeed waits for a change of an operator's table.
	PurposeFeed
	// PurposeConfirm asks whether the copy of such a table is still the newest.
	PurposeConfirm
	// PurposeReadAll reads such a table whole.
	PurposeReadAll
	// PurposeVMs reads the list of VMs or writes this VM's row in it.
	PurposeVMs
	// PurposeLease reads, takes or renews a lease.
	PurposeLease
	// PurposeProbe asks whether a store that failed answers again.
	PurposeProbe
	// PurposeQuarantine reads or writes requests that are quarantined.
	PurposeQuarantine
)

// PurposeCount sizes arrays indexed by Purpose.
const PurposeCount = 8

// String returns the purpose's name as it stands in metrics, dump and log.
func (p Purpose) String() string {
	names := [PurposeCount]string{"other", "feed", "confirm", "read_all", "vms", "lease", "probe", "quarantine"}
	return names[p]
}

type purposeKey struct{}

// WithPurpose returns a context whose calls to the store are counted under the purpose.
func WithPurpose(ctx context.Context, p Purpose) context.Context {
	return context.WithValue(ctx, purposeKey{}, p)
}

// PurposeOf returns the context's purpose.
func PurposeOf(ctx context.Context) Purpose {
	p, _ := ctx.Value(purposeKey{}).(Purpose)
	return p
}
