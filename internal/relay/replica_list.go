package relay

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/platform"
)

// ReplicaList is this VM's list of replicas, by which targets and paths are chosen.
type ReplicaList interface {
	// ListState returns the store's version of the list, and the time since the store or a peer confirmed
	// that it is the newest.
	ListState() (version platform.Version, age time.Duration)
	// MayBeSent reports whether the list has an incarnation of a replica, and not as draining.
	MayBeSent(replica incarnation.Key) bool
}

// departedError reports that a replica has left since it was chosen for a request, which was not sent.
type departedError struct{ Replica incarnation.Key }

// Error implements error.
func (e *departedError) Error() string {
	return fmt.Sprintf("replica %s has left since it was chosen", e.Replica)
}

// checkListed returns a *departedError if a replica that was chosen for a request must not be sent it any
// more. A replica may leave while the connection is made, and long before a path that was reserved while
// another send went on is used.
func (h *Handler) checkListed(to target) error {
	if h.ReplicaList == nil {
		return nil
	}
	if !h.ReplicaList.MayBeSent(to.incarnation) {
		return &departedError{Replica: to.incarnation}
	}
	for _, stage := range to.path {
		if key := stage.Replica.Key(); !h.ReplicaList.MayBeSent(key) {
			return &departedError{Replica: key}
		}
	}
	return nil
}

// logList adds the state of the list of replicas to the fields of a decision.
func (h *Handler) logList(fields ...zap.Field) []zap.Field {
	if h.ReplicaList == nil {
		return fields
	}
	version, age := h.ReplicaList.ListState()
	return append(fields, zap.Stringer("listVersion", version), zap.Duration("listAge", age))
}
