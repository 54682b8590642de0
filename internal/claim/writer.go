package claim

import "context"

// writer writes one row on the condition that it does not exist.
type writer interface {
	// write returns nil once the row is written, a *platform.RefusedError with the
	// row when there is one, and platform's other errors.
	write(ctx context.Context, row newRow) error
}

// newRow is a row to be created.
type newRow struct {
	key   string
	value []byte
}
