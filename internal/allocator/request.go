package allocator

import (
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/layers"
	"geraniumcroft/internal/overload"
)

// Request asks for a path of a request.
type Request struct {
	// RequestID is the request's id, for the log.
	RequestID string `json:"requestId"`
	Service   string `json:"service"`
	Profile   string `json:"profile"`
	Workspace string `json:"workspace,omitempty"`
	// Urgency orders requests in the queue, Class limits what they may use.
	Urgency config.Urgency `json:"urgency"`
	Class   overload.Class `json:"class"`
	// Prompt and Answer are tokens; see layers.Query.
	Prompt int `json:"prompt"`
	Answer int `json:"answer"`
	// Exclude are the replicas, in the form of incarnation.Key.String, that the path must not contain.
	Exclude []string `json:"exclude,omitempty"`
	// SpareEntries and Gap are those of layers.Query.
	SpareEntries int           `json:"spareEntries,omitempty"`
	Gap          time.Duration `json:"gap,omitempty"`
	// Objective is the time from now in which the first event is due, 0 for none, StartWithin the time in which the
	// request has to start for that. After it the request counts as late.
	Objective   time.Duration `json:"objective"`
	StartWithin time.Duration `json:"startWithin"`
	// MaxWait bounds the time in the queue.
	MaxWait time.Duration `json:"maxWait"`
	// Resume is set for a stream of which the caller has received a part.
	Resume bool `json:"resume,omitempty"`
}

// Valid reports whether the figures of the request can be used.
func (r Request) Valid() bool {
	return r.Urgency < config.UrgencyCount && r.Prompt >= 0 && r.Answer >= 0 && r.MaxWait >= 0
}

// Hold is a path that a VM has in use.
type Hold struct {
	Service string  `json:"service"`
	Prompt  int     `json:"prompt"`
	Answer  int     `json:"answer"`
	Path    []Stage `json:"path"`
}

// Rejection is a replica's own statement that it, or a replica that it names, takes no request now. Unlike
// a broken connection, it does not depend on the VM that was told.
type Rejection struct {
	Service string `json:"service"`
	// Replica is the replica at fault, in the form of incarnation.Key.String.
	Replica string `json:"replica"`
}

// Stage is one replica's part of a path.
type Stage struct {
	ID   string `json:"id"`
	Born int64  `json:"born"`
	From int    `json:"from"`
	To   int    `json:"to"`
}

// StagesOf returns the stages of a path.
func StagesOf(path layers.Path) []Stage {
	stages := make([]Stage, len(path))
	for i, s := range path {
		stages[i] = Stage{ID: s.Replica.ID, Born: s.Replica.Born, From: s.Layers.From, To: s.Layers.To}
	}
	return stages
}

// PathOf returns the path of some stages. Only the ids and start times of the replicas are set.
func PathOf(stages []Stage) layers.Path {
	path := make(layers.Path, len(stages))
	for i, s := range stages {
		path[i] = layers.Stage{Replica: layers.Replica{ID: s.ID, Born: s.Born}, Layers: config.LayerRange{From: s.From, To: s.To}}
	}
	return path
}
