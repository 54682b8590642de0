package adminapi

import "time"

// dumpRun is one run of the dump. Its results may be read once done is closed.
type dumpRun struct {
	startedAt time.Time
	done      chan struct{}
	body      []byte
	err       error
}
