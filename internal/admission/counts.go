package admission

import "time"

// counts holds the numbers of requests by how they passed a pool's queue.
type counts struct {
	// Direct requests started without waiting, Queued requests after a wait.
	Direct uint64 `json:"direct"`
	Queued uint64 `json:"queued"`
	// Full, WorkspaceFull and Deadline requests were refused on arrival.
	Full          uint64 `json:"full"`
	WorkspaceFull uint64 `json:"workspaceFull"`
	Deadline      uint64 `json:"deadline"`
	// Displaced, Expired and Abandoned requests were refused while queued.
	Displaced uint64 `json:"displaced"`
	Expired   uint64 `json:"expired"`
	Abandoned uint64 `json:"abandoned"`
	// Service is the moving average of the service time, measured while requests waited.
	Service time.Duration `json:"serviceNanoseconds"`
}
