package router

import (
	"net/http"
	"time"

	"geraniumcroft/internal/claim"
	"geraniumcroft/internal/outcome"
)

// observedSink measures tokens on their way to the caller and keeps the text
// where a keyed request's answer must be given again.
type observedSink struct {
	entry    *entry
	next     TokenSink
	observer Observer
	last     time.Time
	bound    int
	kept     []byte
	overflow bool
}

func newObservedSink(e *entry, next TokenSink, observer Observer, keepBound int) *observedSink {
	return &observedSink{entry: e, next: next, observer: observer, bound: keepBound}
}

// Token implements generation.Sink.
func (s *observedSink) Token(position int, text string) error {
	now := time.Now()
	if s.last.IsZero() {
		s.observer.FirstToken(s.entry.profile.Urgency, now.Sub(s.entry.id.Arrival))
	} else {
		s.observer.BetweenTokens(s.entry.profile.Urgency, now.Sub(s.last))
	}
	s.last = now
	s.entry.tokens.Add(1)
	s.entry.pace.came(now)
	s.keep(text)
	err := s.next.Token(position, text)
	s.entry.pace.taken(time.Now())
	return err
}

func (s *observedSink) keep(text string) {
	if s.bound == 0 || s.overflow {
		return
	}
	if len(s.kept)+len(text) > s.bound {
		s.kept, s.overflow = nil, true
		return
	}
	s.kept = append(s.kept, text...)
}

// answer returns the whole answer if it was kept.
func (s *observedSink) answer(failure *outcome.Failure) *claim.Answer {
	if failure != nil || s.bound == 0 || s.overflow {
		return nil
	}
	return &claim.Answer{Status: http.StatusOK, ContentType: "text/plain", Body: s.kept}
}
