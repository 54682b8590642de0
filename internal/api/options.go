package api

import (
	"cmp"
	"crypto/tls"
	"net"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/outcome"
)

// Defaults of Options.
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

// Options configures the API and limits the size and duration of requests. A field
// that is zero takes its default.
type Options struct {
	MaxBodyBytes   int64
	MaxHeaderBytes int
	// MaxKeyBytes limits the length of an Idempotency-Key.
	MaxKeyBytes int
	// MaxPromptPieces limits the pieces of a prompt. The pieces take more memory
	// than the body that holds them.
	MaxPromptPieces int
	MaxConnections  int
	ReadTimeout     time.Duration
	WriteTimeout    time.Duration
	IdleTimeout     time.Duration
	// StreamHeadWait is how long a stream's status is held back for the first token.
	StreamHeadWait time.Duration
	// CommentInterval is how long an open stream may be idle before a comment is
	// sent.
	CommentInterval time.Duration
	// TLS is nil for plain connections.
	TLS *tls.Config
	// Listen replaces the TCP listener and its connection limit in tests. It may be
	// nil.
	Listen func(address string) (net.Listener, error)
	// Logger may be nil.
	Logger *zap.Logger
	// OnRefused, if not nil, is called for each request that the API refuses before
	// it reaches the router. The router accounts for all others.
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
