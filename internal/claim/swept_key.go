package claim

import "geraniumcroft/internal/platform"

// sweptKey holds the rows of one key as a sweep read them, and whether all of them
// have expired.
type sweptKey struct {
	rows    []platform.Row
	expired bool
}
