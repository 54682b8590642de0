package relay

import (
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/platform"
)

// ReplicaList is this VM's list of replicas, by which targets and paths are chosen.
type ReplicaList interface {
	// ListState returns the store's version of the list, and the time since the store or a peer confirmed
	// that it is the newest.
	ListState() (version platform.Version, age time.Duration)
}

// logList adds the state of the list of replicas to the fields of a decision.
func (h *Handler) logList(fields ...zap.Field) []zap.Field {
	if h.ReplicaList == nil {
		return fields
	}
	version, age := h.ReplicaList.ListState()
	return append(fields, zap.Stringer("listVersion", version), zap.Duration("listAge", age))
}
