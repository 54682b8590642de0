package stall

import "time"

// Stage is one replica of a path.
type Stage struct {
	Address    string
	DataCentre string
	// Entry is set for the first replica of the path. It accepts a connection for each request.
	Entry bool
}

// Stream is what this VM observes of one stream.
type Stream struct {
	// LastEvent is when the last event arrived, or when the request was sent if none has.
	LastEvent time.Time
	// MeanGap is the mean gap between events, 0 if unknown.
	MeanGap time.Duration
	Stages  []Stage
}

// passed reports whether the end of an event of the stream has passed all its stages after the
// given time.
func (s Stream) passed(since time.Time) bool {
	return s.MeanGap > 0 && s.LastEvent.Add(-s.MeanGap/2).After(since)
}
