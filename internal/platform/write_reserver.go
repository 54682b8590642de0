package platform

import "context"

// WriteReserver is implemented by tables that keep a rate budget. A writer that batches
// its writes reserves a write first and forms the batch afterwards, so that the batch
// includes everything that was queued during the wait.
type WriteReserver interface {
	// ReserveWrite waits until the context's rate class has budget for one write. The
	// first commit with the returned context uses the reservation and does not wait again.
	ReserveWrite(ctx context.Context) (context.Context, error)
}
