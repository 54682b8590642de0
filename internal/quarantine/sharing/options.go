package sharing

import (
	"context"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/platform"
	"geraniumcroft/internal/quarantine"
)

// Peers exchange reports with other VMs.
type Peers interface {
	// OfferAll hands a change to the VMs from which all others learn it, and returns how many took
	// it.
	OfferAll(ctx context.Context, table string, change platform.TableChange, age time.Duration) int
	// FetchFrom asks one peer for what it has beyond a revision.
	FetchFrom(ctx context.Context, address, table string, after uint64) (platform.TableChange, time.Duration, bool)
}

// Options configure a Syncer.
type Options struct {
	Ledger *quarantine.Ledger
	Peers  Peers
	// Table keeps quarantined requests.
	Table platform.Table
	// ShouldLoad says that this VM is one of those that read them after their start.
	ShouldLoad func() bool
	Logger     *zap.Logger
}
