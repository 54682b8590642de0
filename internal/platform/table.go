package platform

import "context"

// Table is the transactional table service.
type Table interface {
	// Commit applies all writes of the transaction atomically. It returns nil once they
	// are applied, a *RefusedError when a condition does not hold, and otherwise an error
	// that matches ErrUnavailable or ErrAmbiguous.
	Commit(ctx context.Context, txn Txn) error
	// Get returns a consistent snapshot of the rows of the keys. A key without a row is
	// returned as a Row with Revision 0.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns up to limit rows with from <= key < to, ordered by key. Rows of a large answer
	// need not be of the same revision.
	Scan(ctx context.Context, from, to string, limit int) ([]Row, error)
}
