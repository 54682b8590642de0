package platform

import "time"

// Row is one row of the table.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision rises with each write of the row; 0 means that there is no row.
	Revision uint64 `json:"revision"`
	// TxnID is the transaction that last wrote the row.
	TxnID string `json:"txnId"`
	// ReadAt is the table's own clock when the row was read, 0 if that isn't known. The clock is
	// steady and counts from an arbitrary moment.
	ReadAt time.Duration `json:"-"`
}
