package confstore

import "geraniumcroft/internal/platform"

// attempt is one transaction whose answer may be lost.
type attempt struct {
	version uint64
	txn     platform.Txn
	// headRevision is the head row's revision that the transaction demands. Once
	// the head has moved, the transaction can never apply.
	headRevision uint64
}
