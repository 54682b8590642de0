package claim

import "context"

// writer writes rows on the condition that they do not exist.
type writer interface {
	// write returns nil when the row is written. It returns a *platform.RefusedError
	// with the existing row if there is one, and errors marked platform.ErrUnavailable
	// or platform.ErrAmbiguous otherwise.
	write(ctx context.Context, row newRow) error
}

// newRow is a row to be created.
type newRow struct {
	key   string
	value []byte
}
