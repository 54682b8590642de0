package adminapi

import "time"

type dumpRun struct {
	since time.Time
	done  chan struct{}
	body  []byte
	err   error
}
