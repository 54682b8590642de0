package router

import (
	"net/http"
	"time"

	"geraniumcroft/internal/claim"
	"geraniumcroft/internal/outcome"
)

// observedSink measures the tokens that are passed to the caller, and stores the text if the
// answer must be replayed for the same idempotency key.
type observedSink struct {
	entry     *entry
	next      TokenSink
	observer  Observer
	lastToken time.Time
	maxStored int
	stored    []byte
	overflow  bool
}

func newObservedSink(e *entry, next TokenSink, observer Observer, maxBytes int) *observedSink {
	return &observedSink{entry: e, next: next, observer: observer, maxStored: maxBytes}
}

// Token implements generation.Sink.
func (s *observedSink) Token(position int, text string) error {
	now := time.Now()
	if s.lastToken.IsZero() {
		s.observer.FirstToken(s.entry.profile.Urgency, now.Sub(s.entry.meta.Arrival))
	} else {
		s.observer.BetweenTokens(s.entry.profile.Urgency, now.Sub(s.lastToken))
	}
	s.lastToken = now
	s.entry.tokens.Add(1)
	s.entry.gap.tokenReceived(now)
	s.store(text)
	err := s.next.Token(position, text)
	s.entry.gap.tokenAccepted(time.Now())
	return err
}

// store stores the text unless the answer exceeds maxStored.
func (s *observedSink) store(text string) {
	if s.maxStored == 0 || s.overflow {
		return
	}
	if len(s.stored)+len(text) > s.maxStored {
		s.stored, s.overflow = nil, true
		return
	}
	s.stored = append(s.stored, text...)
}

// answer returns the complete answer, or nil if it is incomplete or was not stored.
func (s *observedSink) answer(result GenerateResult, failure *outcome.Failure) *claim.Answer {
	if failure != nil || s.maxStored == 0 || s.overflow {
		return nil
	}
	return &claim.Answer{Status: http.StatusOK, ContentType: "text/plain", Body: s.stored, Finish: result.Finish}
}
