package pushback

import (
	"time"

	"geraniumcroft/internal/incarnation"
)

// Origin identifies the replica that sent an answer, and the request that it answers.
type Origin struct {
	Replica    incarnation.Key
	DataCentre string
	// Sent is when the request was sent.
	Sent time.Time
}
