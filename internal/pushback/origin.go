package pushback

import (
	"time"

	"geraniumcroft/internal/incarnation"
)

// Origin is the replica that an answer comes from.
type Origin struct {
	Replica    incarnation.Key
	DataCentre string
	// Sent is when the request was sent that the replica answers.
	Sent time.Time
}
