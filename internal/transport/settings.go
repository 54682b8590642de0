package transport

import (
	"cmp"
	"time"
)

// Settings configures the connections of a Pool. A zero field takes its default.
type Settings struct {
	// ConnectTimeout bounds the TCP handshake.
	ConnectTimeout time.Duration
	// UserTimeout is the time that sent bytes, or keepalive probes since the last packet that
	// came, may stay unacknowledged before the kernel ends the connection (TCP_USER_TIMEOUT).
	UserTimeout time.Duration
	// KeepAlive is the idle time before the first keepalive probe and the interval between
	// probes. It should be at most half of UserTimeout.
	KeepAlive time.Duration
	// IdleLifetime is the time for which an idle connection is kept.
	IdleLifetime time.Duration
	// MaxIdlePerPeer bounds the number of idle connections to one peer.
	MaxIdlePerPeer int
	// MaxPeers bounds the number of peers whose transports are kept.
	MaxPeers int
	// ReadBuffer and WriteBuffer are the sizes of a connection's buffers in bytes.
	ReadBuffer  int
	WriteBuffer int
}

// Defaults of Settings.
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

// WithDefaults returns s with its zero fields set to their defaults.
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
