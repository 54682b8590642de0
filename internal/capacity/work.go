package capacity

// Work is the present work of a replica. A field that is negative or NaN counts as 0, one
// above 2^30 as 2^30.
type Work struct {
	// Streams is the number of streams that are being decoded.
	Streams float64
	// MeanContext is the mean context of a stream, in tokens.
	MeanContext float64
	// WaitingPromptTokens is the number of prompt tokens that have arrived and are not yet
	// read, including those of the pass in progress.
	WaitingPromptTokens float64
}

// maxCount limits counts of streams and tokens. It is far above what a card can carry and
// keeps the products of counts finite.
const maxCount = 1 << 30

func count(x float64) float64 {
	if x > 0 {
		return min(x, maxCount)
	}
	return 0
}
