package outcome

// Reason is why a request was not completed. Each reason has one HTTP status.
type Reason string

// The reasons for which a request is refused or ends without a complete response.
const (
	ReasonBadRequest       Reason = "bad-request"
	ReasonUnauthorized     Reason = "unauthorized"
	ReasonForbidden        Reason = "forbidden"
	ReasonUnknownProfile   Reason = "unknown-profile"
	ReasonTooLarge         Reason = "too-large"
	ReasonBodyTimeout      Reason = "body-timeout"
	ReasonHeadersTooLarge  Reason = "headers-too-large"
	ReasonNotFound         Reason = "not-found"
	ReasonMethodNotAllowed Reason = "method-not-allowed"
	ReasonKeyReused        Reason = "key-reused"
	ReasonKeyInProgress    Reason = "key-in-progress"
	// ReasonKeySpent: the request with this idempotency key has ended and its response
	// is not stored.
	ReasonKeySpent       Reason = "key-spent"
	ReasonOverloaded     Reason = "overloaded"
	ReasonWorkspaceLimit Reason = "workspace-limit"
	// ReasonQuarantined: replicas crashed each time they ran the same request.
	ReasonQuarantined Reason = "quarantined"
	// ReasonSuspected: a replica crashed while it ran the same request, and too few other
	// replicas are left.
	ReasonSuspected Reason = "suspected"
	// ReasonThrottled: all replicas have asked to get no requests for some time.
	ReasonThrottled        Reason = "replicas-held"
	ReasonDeadline         Reason = "deadline"
	ReasonNoTarget         Reason = "no-target"
	ReasonStoreUnavailable Reason = "store-unavailable"
	ReasonIsolated         Reason = "isolated"
	ReasonStopping         Reason = "stopping"
	ReasonTargetFailed     Reason = "target-failed"
	ReasonTargetSilent     Reason = "target-silent"
	ReasonCallerGone       Reason = "caller-gone"
	ReasonInternal         Reason = "internal"
)

var statusOf = map[Reason]int{
	ReasonBadRequest:       400,
	ReasonUnauthorized:     401,
	ReasonForbidden:        403,
	ReasonUnknownProfile:   404,
	ReasonTooLarge:         413,
	ReasonBodyTimeout:      408,
	ReasonHeadersTooLarge:  431,
	ReasonNotFound:         404,
	ReasonMethodNotAllowed: 405,
	ReasonKeyReused:        422,
	ReasonKeyInProgress:    409,
	ReasonKeySpent:         409,
	ReasonOverloaded:       503,
	ReasonWorkspaceLimit:   429,
	ReasonQuarantined:      429,
	ReasonSuspected:        429,
	ReasonThrottled:        503,
	ReasonDeadline:         504,
	ReasonNoTarget:         503,
	ReasonStoreUnavailable: 503,
	ReasonIsolated:         503,
	ReasonStopping:         503,
	ReasonTargetFailed:     502,
	ReasonTargetSilent:     504,
	ReasonCallerGone:       499,
	ReasonInternal:         500,
}

// Status returns the reason's HTTP status, 500 for a reason that is not defined here.
func (r Reason) Status() int {
	if status, ok := statusOf[r]; ok {
		return status
	}
	return 500
}
