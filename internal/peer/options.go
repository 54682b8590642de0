package peer

import (
	"context"
	"crypto/tls"
	"net"

	"go.uber.org/zap"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/invariant"
)

// ConfigStore holds the configuration of this VM.
type ConfigStore interface {
	// Current returns the newest configuration of this VM. Its version never falls.
	Current() *config.Snapshot
	// InForceVersion returns the newest version that all parts of this VM apply. It may briefly be
	// behind the version of Current. Only this version may be confirmed to peers; otherwise an
	// operator would be told that a drain is in force before the balancer of this VM applies it.
	InForceVersion() uint64
	// ApplyChanges applies the changes that follow the current version and skips those that are
	// already applied. It returns the resulting version.
	ApplyChanges(changes []config.Change) (uint64, error)
	// ChangesAfter returns up to limit changes that follow a version, and false if the store no
	// longer has them.
	ChangesAfter(version uint64, limit int) ([]config.Change, bool)
	// InstallSnapshot replaces the configuration by a newer one. It reports false if the snapshot
	// is not newer.
	InstallSnapshot(snapshot *config.Snapshot) bool
}

// LoadStore holds the requests in flight of this VM and of its peers.
type LoadStore interface {
	// InFlight returns this VM's requests in flight by target.
	InFlight() map[string]int
	// PeerLoad replaces the requests in flight of a peer, by target; nil means that they are no
	// longer known.
	PeerLoad(vm string, inFlight map[string]int)
}

// Dial opens a connection to a peer at the address IP:port.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Options configure a Node.
type Options struct {
	// VM is the name of this VM, unique in the fleet.
	VM         string
	DataCentre string
	// Address is the IP:port at which peers reach this VM.
	Address string
	// Seeds are addresses of peers to join, in addition to the platform's list.
	Seeds []string
	Store ConfigStore
	// Load is optional. Without it, no load is exchanged.
	Load LoadStore
	// SharesTargets reports whether a VM sends requests to the same targets as this one. It may be
	// nil. In a fleet larger than the view, load is exchanged only with such VMs.
	SharesTargets func(vm string) bool
	Invariants    *invariant.Registry
	Logger        *zap.Logger
	Settings      Settings
	// TLS is the configuration of the listener, ClientTLS that of connections to peers. Both are
	// nil for connections without TLS.
	TLS       *tls.Config
	ClientTLS ClientTLS
	// Dial replaces TCP, for tests; nil uses TCP.
	Dial Dial
}
