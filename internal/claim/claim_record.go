package claim

import "time"

// claimRecord is the value of a claim row.
type claimRecord struct {
	Digest    []byte `json:"digest"`
	Owner     string `json:"owner"`
	RequestID string `json:"requestId"`
	// Deadline is when the owner has given up at the latest.
	Deadline time.Time `json:"deadline"`
	// KeepUntil is when the row may be swept.
	KeepUntil time.Time `json:"keepUntil"`
}
