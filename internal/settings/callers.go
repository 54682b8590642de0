package settings

import "time"

// Callers holds the settings of the callers' listener. Sizes are in bytes.
type Callers struct {
	Address         string
	MaxBodyBytes    int64
	MaxHeaderBytes  int
	MaxConnections  int
	ReadTimeout     time.Duration
	WriteTimeout    time.Duration
	IdleTimeout     time.Duration
	StreamHeadWait  time.Duration
	CommentInterval time.Duration
	TLS             TLS
}
