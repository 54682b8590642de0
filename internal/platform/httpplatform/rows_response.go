package httpplatform

import "geraniumcroft/internal/platform"

// RowsResponse is the response body of PathGet and PathScan. For a refused PathCommit it
// holds the current rows of the conditions that failed.
type RowsResponse struct {
	Rows []platform.Row `json:"rows"`
}
