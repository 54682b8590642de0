package roster

import "time"

// record is the value of a row.
type record struct {
	VM    string    `json:"vm"`
	Since time.Time `json:"since"`
}
