package platform

import "context"

// Table is the transactional table service.
type Table interface {
	// Commit applies all writes of the transaction, or none. It returns nil once
	// they are applied, a *RefusedError when a condition does not hold, and errors
	// marked ErrUnavailable or ErrAmbiguous otherwise.
	Commit(ctx context.Context, txn Txn) error
	// Get returns the rows of the keys, at one moment. A key that has no row is
	// returned as a Row with Revision 0.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns up to limit rows with from <= key < to, in order of key.
	Scan(ctx context.Context, from, to string, limit int) ([]Row, error)
}
