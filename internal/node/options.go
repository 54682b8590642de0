package node

import (
	"crypto/tls"
	"io"

	"go.uber.org/zap"

	"geraniumcroft/internal/adminapi"
	"geraniumcroft/internal/dispatch"
	"geraniumcroft/internal/generation"
	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/peer"
	"geraniumcroft/internal/settings"
)

// Options are what a Node is made from.
type Options struct {
	Settings *settings.Settings
	Version  string
	// LogOut takes the log's lines; nil discards them.
	LogOut io.Writer
	// Authenticator knows the operators' tokens.
	Authenticator adminapi.Authenticator
	// CallersTLS, AdminTLS and PeersTLS are nil for plain connections.
	CallersTLS *tls.Config
	AdminTLS   *tls.Config
	PeersTLS   *tls.Config
	// PlatformTLS is for the platform's services over https; nil takes the system's
	// authorities.
	PlatformTLS *tls.Config
	// PeersClientTLS is for connections to peers, nil for plain ones.
	PeersClientTLS peer.ClientTLS
	// Dispatch and Generation take their defaults where they are zero.
	Dispatch   dispatch.Settings
	Generation generation.Settings
	// OnViolation, when not nil, is called on each violated invariant besides the
	// log and the metrics; tests make it fatal.
	OnViolation func(invariant.Violation)
	// Wiring replaces TCP and HTTP, for tests; nil leaves them.
	Wiring *Wiring
	// Logger replaces the log made from the settings, for tests.
	Logger *zap.Logger
}
