package security

import "time"

// stamp changes when a file does.
type stamp struct {
	modified time.Time
	size     int64
}
