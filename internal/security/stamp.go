package security

import "time"

// stamp identifies a version of a file by its modification time and size.
type stamp struct {
	modified time.Time
	size     int64
}
