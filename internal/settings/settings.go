package settings

import "time"

// Settings are all static settings of a process. Sizes are in bytes.
type Settings struct {
	VM        VM
	Callers   Callers
	Admin     Admin
	Peers     Peers
	Platform  Platform
	Admission Admission
	Targets   Targets
	Shutdown  Shutdown
	Log       Log
	Metrics   Metrics
}

// VM says who this process is.
type VM struct {
	Name       string
	DataCentre string
}

// TLS is a listener's choice of TLS or plain connections.
type TLS struct {
	// Plain is the operator's explicit choice of connections without TLS.
	Plain bool
	Cert  string
	Key   string
	// CA is the file of authorities whose client certificates are demanded; empty
	// demands none.
	CA string
}

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

// Admin is the operators' listener.
type Admin struct {
	Address    string
	TokensFile string
	TLS        TLS
}

// Peers is the listener for the system's other VMs.
type Peers struct {
	Address string
	// Seeds are peers to try when the platform's VM list cannot be read.
	Seeds []string
	TLS   TLS
}

// Platform says where the platform's services are and what this VM may ask of them.
type Platform struct {
	Table   string
	Objects string
	VMList  string
	// TLSCA is the file of authorities that sign the services' certificates.
	TLSCA           string
	WritesPerSecond float64
	ReadsPerSecond  float64
	Timeout         time.Duration
}

// Admission bounds the queues.
type Admission struct {
	MaxQueued             int
	MaxQueuedPerWorkspace int
	// UrgentHeadroom is the share of each target's slots that only urgent requests take.
	UrgentHeadroom float64
}

// Targets says how targets are watched.
type Targets struct {
	ReportInterval   time.Duration
	ConnectTimeout   time.Duration
	SilenceTimeout   time.Duration
	EjectionFailures int
	EjectionTime     time.Duration
	EjectionMaxShare float64
	MaxConnections   int
}

// Shutdown says how a stop goes.
type Shutdown struct {
	// UnreadyWait is how long the VM goes on accepting requests after it has become
	// unready, so that the balancer learns of it.
	UnreadyWait time.Duration
}

// Log says what is logged.
type Log struct {
	Level  string
	Format string
}

// Metrics says how metrics are named.
type Metrics struct {
	Prefix string
}
