package relay

import (
	"context"
	"net/http"
	"time"

	"geraniumcroft/internal/layers"
	"geraniumcroft/internal/pushback"
)

// Codec knows how a request's facts are written in HTTP headers between callers, this
// VM and replicas.
type Codec interface {
	// Decode reads a caller's headers.
	Decode(h http.Header) Inbound
	// Encode sets what this VM adds to a request that is passed on, and removes what
	// replicas must not see.
	Encode(h http.Header, out Outbound)
	// DecodeResponse reads the head of a replica's answer.
	DecodeResponse(status int, h http.Header) Response
	// EncodeRefusal sets the headers of an answer of this VM's own.
	EncodeRefusal(h http.Header, requestID string, retryAfter time.Duration)
}

// Inbound is what a caller's headers say.
type Inbound struct {
	RequestID string
	// CallerTimeout is how long the caller waits; 0 when it does not say.
	CallerTimeout time.Duration
	// Key is the caller's key; it is never logged.
	Key string
	// LastEventID is the event behind which a stream is to go on, "" for its beginning.
	LastEventID string
	// PromptTokens and MaxAnswerTokens are the size of a generation, 0 if unknown.
	PromptTokens    int
	MaxAnswerTokens int
	// LikelyAnswerTokens is the caller's estimate, 0 if it gave none.
	LikelyAnswerTokens int
}

// Outbound is what this VM adds to a request that it passes on.
type Outbound struct {
	// Left is how long the caller still waits.
	Left time.Duration
	// ReplicaID is the replica that the request is meant for; whoever has its address now
	// must not run it. A later incarnation of the same replica may.
	ReplicaID string
	// Workspace is the owner of the caller's key, "" without one.
	Workspace string
	// Priority is from 0, which is first, to 9.
	Priority int
	// Path is nil for a replica that serves the request alone.
	Path layers.Path
	// LastEventID replaces the caller's where a stream goes on.
	LastEventID string
}

// Response is what the head of a replica's answer says.
type Response struct {
	RequestID string
	// NotRun says that the replica did not run the request and will not.
	NotRun bool
	// Encoded answers are not what the replica signed.
	Encoded bool
	// FaultAddress is the replica of the path that could not take its part, "" if the
	// answer does not say.
	FaultAddress string
	// Load is the replica's load; it is there if HasLoad is set.
	HasLoad bool
	Running int
	Waiting int
	Slots   int
	// Pushback is what the replica asks of those who send to it.
	Pushback pushback.Signal
}

// Engines asks and orders replicas that hold layers. A path's first replica knows of
// the requests on it.
type Engines interface {
	// Report returns what a replica says of itself.
	Report(ctx context.Context, address string) (EngineReport, error)
	// Repath moves a request that is under way to another path with the same first
	// replica. The stages that stay keep their memory.
	Repath(ctx context.Context, first layers.Replica, requestID string, path layers.Path) error
}

// EngineReport is what a replica says of itself; it lags by some hundred ms.
type EngineReport struct {
	// Born is the start of the incarnation that reports; see incarnation.BornMissing.
	Born int64
	// Pace above 1 means that the replica is slower than its kind.
	Pace float64
	// Stalled are the requests that wait for another replica.
	Stalled []StalledRequest
}

// StalledRequest is a request whose path does not move, and the replica that stopped.
type StalledRequest struct {
	RequestID string
	Address   string
}
