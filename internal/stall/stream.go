package stall

import "time"

// Stage is one replica of a path.
type Stage struct {
	Address    string
	DataCentre string
	// Entry says that the path begins here. Such a replica takes a connection for each request.
	Entry bool
}

// Stream is what this VM sees of one stream.
type Stream struct {
	// Last is when its last event came, or when it was sent if none has.
	Last time.Time
	// Pace is the usual gap between its events, 0 if unknown.
	Pace   time.Duration
	Stages []Stage
}

// passed reports whether the end of an event of the stream has passed all its stages after the
// given moment.
func (s Stream) passed(since time.Time) bool {
	return s.Pace > 0 && s.Last.Add(-s.Pace/2).After(since)
}
