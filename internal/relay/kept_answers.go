package relay

import (
	"sync"
	"time"

	"golang.org/x/sync/singleflight"
)

// keptAnswers shares the answers of replicas among the streams that want to know the same: those
// who ask at once ask once, and an answer holds for a while. It is safe for concurrent use.
type keptAnswers[T any] struct {
	flights singleflight.Group

	mu   sync.Mutex // guards the field below
	kept map[string]keptAnswer[T]
}

type keptAnswer[T any] struct {
	answer T
	until  time.Time
}

func newKeptAnswers[T any]() *keptAnswers[T] {
	return &keptAnswers[T]{kept: map[string]keptAnswer[T]{}}
}

// recent returns the answer from an address that still holds, if there is one.
func (k *keptAnswers[T]) recent(address string) (T, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	kept, ok := k.kept[address]
	return kept.answer, ok && time.Now().Before(kept.until)
}

// keep remembers an answer for a time, and drops those that hold no more.
func (k *keptAnswers[T]) keep(address string, answer T, fresh time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	for other, kept := range k.kept {
		if !now.Before(kept.until) {
			delete(k.kept, other)
		}
	}
	k.kept[address] = keptAnswer[T]{answer: answer, until: now.Add(fresh)}
}

// once asks, together with all others that ask the address now.
func (k *keptAnswers[T]) once(address string, ask func() (T, error)) (T, error) {
	answer, err, _ := k.flights.Do(address, func() (any, error) { return ask() })
	return answer.(T), err
}
