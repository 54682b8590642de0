package roster

import "time"

// rowValue is the value of a row, encoded as JSON.
type rowValue struct {
	VM    string    `json:"vm"`
	Since time.Time `json:"since"`
}
