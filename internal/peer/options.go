package peer

import (
	"context"
	"crypto/tls"
	"net"

	"go.uber.org/zap"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/invariant"
)

// ConfigStore holds this VM's configuration.
type ConfigStore interface {
	// Current returns what is in force on this VM. Its version never falls.
	Current() *config.Snapshot
	// InForceVersion is the newest version that this VM's parts all act by. It may
	// be behind Current for a moment; only it may be confirmed to peers, or an
	// operator is told that a drain is in force where the balancer has yet to see it.
	InForceVersion() uint64
	// ApplyChanges applies the changes that follow the current version, skips those
	// that are applied already, and returns the version that is then in force.
	ApplyChanges(changes []config.Change) (uint64, error)
	// ChangesAfter returns up to limit changes that follow a version, and false when
	// it no longer has them.
	ChangesAfter(version uint64, limit int) ([]config.Change, bool)
	// InstallSnapshot replaces the configuration by a newer one, and reports false
	// for one that is not newer.
	InstallSnapshot(snapshot *config.Snapshot) bool
}

// LoadStore holds the requests in flight of this VM and of its peers.
type LoadStore interface {
	// InFlight returns this VM's requests in flight by target.
	InFlight() map[string]int
	// PeerLoad takes all that a peer has in flight; nil when it is not known any more.
	PeerLoad(vm string, inFlight map[string]int)
}

// Dial opens a connection to a peer.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Options configure a Node.
type Options struct {
	// VM is this VM's name, unique in the fleet.
	VM         string
	DataCentre string
	// Address is IP:port at which peers reach this VM.
	Address string
	// Seeds are addresses of peers to join by, besides the platform's list.
	Seeds []string
	Store ConfigStore
	// Load is optional.
	Load LoadStore
	// SharesTargets reports whether a VM sends to the same targets as this one. In
	// a fleet larger than the view, load is exchanged only with those.
	SharesTargets func(vm string) bool
	Invariants    *invariant.Registry
	Logger        *zap.Logger
	Settings      Settings
	// TLS is the listener's, ClientTLS the one for connections to peers; both are
	// nil for plain connections.
	TLS       *tls.Config
	ClientTLS ClientTLS
	// Dial replaces TCP, for tests.
	Dial Dial
}
