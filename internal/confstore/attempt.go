package confstore

import "geraniumcroft/internal/platform"

// attempt is a transaction that commits a proposal. Its response may be lost.
type attempt struct {
	version uint64
	txn     platform.Txn
	// headRevision is the revision of the head row that the transaction requires. Once
	// the head row has another revision, the transaction can never be applied.
	headRevision uint64
}
