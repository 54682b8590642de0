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

// Options configure a Node.
type Options struct {
	Settings *settings.Settings
	Version  string
	// LogOut receives the lines of the log; nil discards them.
	LogOut io.Writer
	// Authenticator verifies the operators' tokens.
	Authenticator adminapi.Authenticator
	// CallersTLS, AdminTLS and PeersTLS configure the listeners; nil means connections without TLS.
	CallersTLS *tls.Config
	AdminTLS   *tls.Config
	PeersTLS   *tls.Config
	// PlatformTLS is for https connections to the platform's services; nil uses the system's
	// certificate authorities.
	PlatformTLS *tls.Config
	// PeersClientTLS is for connections to peers; nil means connections without TLS.
	PeersClientTLS peer.ClientTLS
	// Dispatch and Generation use their defaults where they are zero.
	Dispatch   dispatch.Settings
	Generation generation.Settings
	// OnViolation, if not nil, is called on each violation of an invariant, in addition to the log
	// and the metrics. Tests fail on it.
	OnViolation func(invariant.Violation)
	// Wiring replaces TCP and HTTP, for tests; nil uses the network.
	Wiring *Wiring
	// Logger, if not nil, is used instead of a log made from the settings, for tests.
	Logger *zap.Logger
}
