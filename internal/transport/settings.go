package transport

import (
	"cmp"
	"time"
)

// Settings bound connections. A zero field takes its default.
type Settings struct {
	// ConnectTimeout bounds the TCP handshake.
	ConnectTimeout time.Duration
	// UserTimeout is how long sent bytes may stay unacknowledged before the kernel
	// breaks the connection.
	UserTimeout time.Duration
	// KeepAlive is the quiet time before a probe, and the time between probes.
	KeepAlive time.Duration
	// IdleLifetime is how long an unused connection is kept.
	IdleLifetime time.Duration
	// MaxIdlePerPeer bounds the unused connections to one peer.
	MaxIdlePerPeer int
	// MaxPeers bounds the peers that are remembered.
	MaxPeers int
	// ReadBuffer and WriteBuffer are a connection's buffers in bytes.
	ReadBuffer  int
	WriteBuffer int
}

// The defaults of Settings.
const (
	DefaultConnectTimeout = 500 * time.Millisecond
	DefaultUserTimeout    = 2 * time.Second
	DefaultKeepAlive      = time.Second
	DefaultIdleLifetime   = 2 * time.Second
	DefaultMaxIdlePerPeer = 4
	DefaultMaxPeers       = 4096
	DefaultReadBuffer     = 2 << 10
	DefaultWriteBuffer    = 1 << 10
)

// WithDefaults returns s with its zero fields filled in.
func (s Settings) WithDefaults() Settings {
	s.ConnectTimeout = cmp.Or(s.ConnectTimeout, DefaultConnectTimeout)
	s.UserTimeout = cmp.Or(s.UserTimeout, DefaultUserTimeout)
	s.KeepAlive = cmp.Or(s.KeepAlive, DefaultKeepAlive)
	s.IdleLifetime = cmp.Or(s.IdleLifetime, DefaultIdleLifetime)
	s.MaxIdlePerPeer = cmp.Or(s.MaxIdlePerPeer, DefaultMaxIdlePerPeer)
	s.MaxPeers = cmp.Or(s.MaxPeers, DefaultMaxPeers)
	s.ReadBuffer = cmp.Or(s.ReadBuffer, DefaultReadBuffer)
	s.WriteBuffer = cmp.Or(s.WriteBuffer, DefaultWriteBuffer)
	return s
}
