package httpplatform

import (
	"cmp"
	"crypto/tls"
	"time"
)

// Defaults of Settings.
const (
	DefaultConnectTimeout   = time.Second
	DefaultAttemptTimeout   = 1 * time.Second
	DefaultIdleTimeout      = 5 * time.Second
	DefaultMaxResponseBytes = 64 << 20
	DefaultMaxIdle          = 16
)

// Settings configures a Client. A zero field takes its default.
type Settings struct {
	// BaseURL is the service's URL without a path, such as "http://10.0.0.1:7000".
	BaseURL string
	// TLS is used for an https BaseURL; nil selects the system's root certificates.
	TLS *tls.Config
	// ConnectTimeout bounds the dial and, separately, the TLS handshake.
	ConnectTimeout time.Duration
	// AttemptTimeout bounds one request, from getting a connection to the last byte of the
	// response.
	AttemptTimeout time.Duration
	// IdleTimeout is the time after which idle connections are closed, so that few are
	// idle long enough for a firewall to drop their state.
	IdleTimeout time.Duration
	// MaxIdle bounds the number of idle connections.
	MaxIdle int
	// MaxResponseBytes bounds the size of a response body.
	MaxResponseBytes int64
}

func (s Settings) withDefaults() Settings {
	s.ConnectTimeout = cmp.Or(max(s.ConnectTimeout, 0), DefaultConnectTimeout)
	s.AttemptTimeout = cmp.Or(max(s.AttemptTimeout, 0), DefaultAttemptTimeout)
	s.IdleTimeout = cmp.Or(max(s.IdleTimeout, 0), DefaultIdleTimeout)
	s.MaxIdle = cmp.Or(max(s.MaxIdle, 0), DefaultMaxIdle)
	s.MaxResponseBytes = cmp.Or(max(s.MaxResponseBytes, 0), DefaultMaxResponseBytes)
	return s
}
