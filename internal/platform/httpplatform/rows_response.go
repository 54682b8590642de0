package httpplatform

import "geraniumcroft/internal/platform"

// RowsResponse answers PathGet and PathScan, and a refused PathCommit with the
// present rows of the conditions that failed.
type RowsResponse struct {
	Rows []platform.Row `json:"rows"`
}
