package sharing

import (
	"context"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/platform"
	"geraniumcroft/internal/quarantine"
)

// Peers sends reports to other VMs and fetches theirs.
type Peers interface {
	// OfferAll sends a change of the given age to the VMs from which all others fetch it. It returns
	// the number of VMs that accepted it.
	OfferAll(ctx context.Context, table string, change platform.TableChange, age time.Duration) int
	// FetchFrom fetches the changes after a version from one peer, with their age. It returns false
	// if the peer did not answer.
	FetchFrom(ctx context.Context, address, table string, after platform.Version) (platform.TableChange, time.Duration, bool)
}

// Options holds the dependencies of a Syncer. All fields are required.
type Options struct {
	Ledger *quarantine.Ledger
	Peers  Peers
	// Table stores quarantined requests.
	Table platform.Table
	// ShouldLoad reports whether this VM reads the stored requests after its start. It is called until
	// it returns true.
	ShouldLoad func() bool
	// Eras has the eras of the table that this VM has heard of.
	Eras   *platform.Eras
	Logger *zap.Logger
}
