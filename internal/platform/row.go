package platform

import "time"

// Row is one row of the table.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision increases with each write of the row within an era of the store; 0 means that the
	// row does not exist.
	Revision uint64 `json:"revision"`
	// TxnID is the ID of the transaction that last wrote the row.
	TxnID string `json:"txnId"`
	// ReadAt is the time on the table's own clock when the row was read, 0 if unknown. The
	// clock is monotonic and has an arbitrary origin.
	ReadAt time.Duration `json:"-"`
	// Era is the store's era in which the row was read, 0 if unknown.
	Era uint64 `json:"-"`
}
