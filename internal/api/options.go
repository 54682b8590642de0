package api

import (
	"cmp"
	"crypto/tls"
	"net"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/outcome"
)

// The defaults of Options.
const (
	defaultMaxBodyBytes    = 1 << 20
	defaultMaxHeaderBytes  = 16 << 10
	defaultMaxKeyBytes     = 255
	defaultMaxPromptPieces = 1 << 17
	defaultMaxConnections  = 8192
	defaultReadTimeout     = 10 * time.Second
	defaultWriteTimeout    = 10 * time.Second
	defaultIdleTimeout     = 60 * time.Second
	defaultStreamHeadWait  = 5 * time.Second
	defaultCommentInterval = 5 * time.Second
)

// Options bound what a caller may send and how long it may take. A zero field
// takes the default.
type Options struct {
	MaxBodyBytes   int64
	MaxHeaderBytes int
	// MaxKeyBytes bounds an Idempotency-Key.
	MaxKeyBytes int
	// MaxPromptPieces bounds the pieces of a prompt, which take more memory than
	// the body that they came in.
	MaxPromptPieces int
	MaxConnections  int
	ReadTimeout     time.Duration
	WriteTimeout    time.Duration
	IdleTimeout     time.Duration
	// StreamHeadWait is the latest moment at which a stream's status is sent.
	StreamHeadWait time.Duration
	// CommentInterval is the longest time without a byte on an open stream.
	CommentInterval time.Duration
	// TLS is nil for plain connections.
	TLS *tls.Config
	// Listen replaces TCP and its limit on connections, for tests; it may be nil.
	Listen func(address string) (net.Listener, error)
	// Logger may be nil.
	Logger *zap.Logger
	// OnRefused, when not nil, is told of requests that the API refused itself; the
	// router knows of all others.
	OnRefused func(requestID, profile string, f *outcome.Failure)
}

func (o Options) withDefaults() Options {
	o.MaxBodyBytes = cmp.Or(o.MaxBodyBytes, defaultMaxBodyBytes)
	o.MaxHeaderBytes = cmp.Or(o.MaxHeaderBytes, defaultMaxHeaderBytes)
	o.MaxKeyBytes = cmp.Or(o.MaxKeyBytes, defaultMaxKeyBytes)
	o.MaxPromptPieces = cmp.Or(o.MaxPromptPieces, defaultMaxPromptPieces)
	o.MaxConnections = cmp.Or(o.MaxConnections, defaultMaxConnections)
	o.ReadTimeout = cmp.Or(o.ReadTimeout, defaultReadTimeout)
	o.WriteTimeout = cmp.Or(o.WriteTimeout, defaultWriteTimeout)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, defaultIdleTimeout)
	o.StreamHeadWait = cmp.Or(o.StreamHeadWait, defaultStreamHeadWait)
	o.CommentInterval = cmp.Or(o.CommentInterval, defaultCommentInterval)
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.OnRefused == nil {
		o.OnRefused = func(string, string, *outcome.Failure) {}
	}
	return o
}
