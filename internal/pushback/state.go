package pushback

import "time"

// state is what one incarnation of a replica has said.
type state struct {
	dataCentre string
	limit      Limit
	// since is when the limit was first heard, heard when the replica last said anything.
	since time.Time
	heard time.Time
	// sent counts this VM's requests to the replica since the limit was first heard.
	sent uint64
	// unreadable is the last fault that was logged.
	unreadable string
}

// idle reports whether nothing is in force that the replica said.
func (s *state) idle() bool { return !s.limit.Named }
