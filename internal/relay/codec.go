package relay

import (
	"context"
	"net/http"
	"time"

	"geraniumcroft/internal/layers"
	"geraniumcroft/internal/pushback"
)

// Codec translates between the metadata of a request and the HTTP headers in which callers, this VM
// and replicas exchange it.
type Codec interface {
	// Decode reads the headers of a caller's request.
	Decode(h http.Header) Inbound
	// Encode adds this VM's headers to a request that is forwarded, and removes those that replicas
	// must not see.
	Encode(h http.Header, out Outbound)
	// DecodeResponse reads the status and the headers of a replica's response.
	DecodeResponse(status int, h http.Header) Response
	// EncodeRefusal sets the headers of a response that this VM creates itself.
	EncodeRefusal(h http.Header, requestID string, retryAfter time.Duration)
}

// Inbound holds what a caller's headers state.
type Inbound struct {
	RequestID string
	// CallerTimeout is how long the caller waits for the response, 0 if not stated.
	CallerTimeout time.Duration
	// Key is the caller's API key. It is never logged.
	Key string
	// LastEventID is the event after which a stream resumes, "" to start at the beginning.
	LastEventID string
	// PromptTokens and MaxAnswerTokens are the size of a generation's prompt and the bound on its
	// answer, 0 if unknown.
	PromptTokens    int
	MaxAnswerTokens int
	// LikelyAnswerTokens is the caller's estimate of the answer's size, 0 if not given.
	LikelyAnswerTokens int
	// PromptParts are the ids of the parts of a generation's prompt, in order. All but the last may be
	// shared with other requests.
	PromptParts []string
}

// Outbound holds what this VM adds to a request that it forwards.
type Outbound struct {
	// Left is the time until the request's deadline.
	Left time.Duration
	// ReplicaID is the replica that the request is meant for. Another replica that now has its
	// address must not run the request; a later incarnation of the same replica may.
	ReplicaID string
	// Workspace is the owner of the caller's key, "" if there is none.
	Workspace string
	// Priority ranges from 0, the highest, to 9.
	Priority int
	// Path is nil for a replica that serves the request by itself.
	Path layers.Path
	// LastEventID replaces the caller's value if a stream is resumed.
	LastEventID string
}

// Response holds what the head of a replica's response states.
type Response struct {
	RequestID string
	// NotRun is set if the replica did not run the request and will not.
	NotRun bool
	// Encoded is set if the body has a content encoding, and so is not what the replica signed.
	Encoded bool
	// Signed is set if the response carries the replica's signature, which callers need with a success.
	Signed bool
	// FaultAddress is the address of the replica on the path that could not take part, "" if not
	// stated.
	FaultAddress string
	// HasLoad is set if the response states the replica's load: the requests that run and wait, and
	// the slots.
	HasLoad bool
	Running int
	Waiting int
	Slots   int
	// Pushback is what the replica asks of those that send to it.
	Pushback pushback.Signal
}

// Engines queries and controls replicas that hold layers. The first replica of a path keeps track
// of the requests on it.
type Engines interface {
	// Report returns a replica's report on itself.
	Report(ctx context.Context, address string) (EngineReport, error)
	// Repath moves a request in progress to another path with the same first replica. Stages that
	// stay on the path keep their memory.
	Repath(ctx context.Context, first layers.Replica, requestID string, path layers.Path) error
}

// EngineReport is a replica's report on itself. It lags by some hundred milliseconds.
type EngineReport struct {
	// Born is the start time of the incarnation that reports; see incarnation.BornMissing.
	Born int64
	// Pace is above 1 if the replica is slower than others of its kind.
	Pace float64
	// Stalled are the requests that wait for another replica.
	Stalled []StalledRequest
}

// StalledRequest is a request whose path makes no progress, with the address of the replica that
// stopped.
type StalledRequest struct {
	RequestID string
	Address   string
}
