package claim

import "geraniumcroft/internal/platform"

// sweptKey is the rows of one key, as a sweep read them.
type sweptKey struct {
	rows    []platform.Row
	expired bool
}
