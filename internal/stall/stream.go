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
	// LastEvent is when its last event came, or when it was sent if none has.
	LastEvent time.Time
	// MeanGap is the usual gap between its events, 0 if unknown.
	MeanGap time.Duration
	Stages  []Stage
}

// passed reports whether the end of an event of the stream has passed all its stages after the
// given moment.
func (s Stream) passed(since time.Time) bool {
	return s.MeanGap > 0 && s.LastEvent.Add(-s.MeanGap/2).After(since)
}
