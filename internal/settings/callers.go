package settings

import "time"

// Callers is the callers' listener.
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
