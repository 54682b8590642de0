package httpplatform

import (
	"cmp"
	"crypto/tls"
	"time"
)

// The defaults of Settings.
const (
	DefaultConnectTimeout   = time.Second
	DefaultAttemptTimeout   = 1 * time.Second
	DefaultIdleTimeout      = 5 * time.Second
	DefaultMaxResponseBytes = 64 << 20
	DefaultMaxIdle          = 16
)

// Settings of a Client. A zero field takes its default.
type Settings struct {
	// BaseURL is the service's, such as "http://10.0.0.1:7000".
	BaseURL string
	// TLS is used for an https BaseURL; nil takes the system's roots.
	TLS *tls.Config
	// ConnectTimeout bounds opening a connection.
	ConnectTimeout time.Duration
	// AttemptTimeout bounds one request from taking its connection to its last byte.
	AttemptTimeout time.Duration
	// IdleTimeout closes unused connections, so that few are old enough for
	// a firewall on the way to have dropped its state of them.
	IdleTimeout time.Duration
	// MaxIdle bounds the unused connections kept.
	MaxIdle int
	// MaxResponseBytes bounds a response's body.
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
