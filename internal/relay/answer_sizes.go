package relay

import (
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// answerSizeDecay is the part by which the expected size approaches that of a smaller answer.
	answerSizeDecay = 0.125
	// maxAnswerSizes bounds the profiles whose answers are remembered. New versions bring new profiles.
	maxAnswerSizes = 4096
)

// answerSizes estimates the sizes of answers by profile, from the recent ones. It is safe for concurrent use.
type answerSizes struct {
	mu       sync.Mutex // makes a change of an estimate atomic
	expected *lru.Cache[string, float64]
}

func newAnswerSizes() *answerSizes {
	expected, _ := lru.New[string, float64](maxAnswerSizes) // fails only for a size below 1
	return &answerSizes{expected: expected}
}

// record takes the size of an answer in bytes. A larger one than expected counts at once.
func (s *answerSizes) record(profile string, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	size := float64(bytes)
	expected, _ := s.expected.Get(profile)
	s.expected.Add(profile, max(size, expected+answerSizeDecay*(size-expected)))
}

// of returns the expected size of the profile's next answer in bytes, 0 before the first one.
func (s *answerSizes) of(profile string) int64 {
	expected, _ := s.expected.Get(profile)
	return int64(expected)
}

// reserveAnswer reserves memory for the expected answer of a call before the call is sent, so that it waits in the
// queue rather than runs for an answer that finds no room. It reports whether there was room.
func (h *Handler) reserveAnswer(q *request) bool {
	expected := min(h.answerSizes.of(q.profile.Name), h.bodies.maxAnswer())
	if expected <= smallAnswerBytes || q.answerCredit > 0 {
		return true
	}
	if !h.bodies.reserve(largeAnswer, expected) {
		return false
	}
	q.answerCredit = expected
	return true
}

// releaseAnswer gives back the memory that was reserved and not used.
func (h *Handler) releaseAnswer(q *request) {
	h.bodies.release(q.answerCredit)
	q.answerCredit = 0
}
