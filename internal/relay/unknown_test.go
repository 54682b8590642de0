package relay

import (
	"testing"
	"time"

	"geraniumcroft/internal/outcome"
)

// sourceOfAge is a configuration that was confirmed so long ago.
type sourceOfAge time.Duration

func (s sourceOfAge) Config() *Config          { return nil }
func (s sourceOfAge) ConfigAge() time.Duration { return time.Duration(s) }

// An operator adds a key while a VM hears neither from the store nor from peers. The caller
// who uses it must not be told that the key is unknown, which ends the matter: the VM can't
// know. The caller is told to come back, and finds a VM that knows or this one again.
func TestUnknownKeyIsNoVerdictOnceTheConfigurationIsOld(t *testing.T) {
	for _, c := range []struct {
		age    time.Duration
		reason outcome.Reason
	}{
		{0, outcome.ReasonUnauthorized},
		{2 * time.Second, outcome.ReasonUnauthorized},
		{staleAfter + time.Millisecond, outcome.ReasonIsolated},
		{9 * time.Second, outcome.ReasonIsolated},
	} {
		h := &Handler{Options: Options{ConfigSource: sourceOfAge(c.age)}}
		failure := h.unknown(outcome.ReasonUnauthorized, "the key is not known")
		if failure.Outcome != outcome.NotRun || failure.Reason != c.reason {
			t.Errorf("age %s: %s, %s", c.age, failure.Outcome, failure.Reason)
		}
		if c.reason == outcome.ReasonIsolated && failure.RetryAfter <= 0 {
			t.Errorf("age %s: the caller is not told when to come back", c.age)
		}
	}
}

// The whole store is away for 8 s. Callers with a key or path that this VM does not know are
// told to come back, as nobody can say whether it was added a moment before. They come back as
// told, and once only: with 200 ms for all, 15 of 16 were refused twice. Each must be told a
// time that grows with the age of the configuration, and those refused together not the same.
func TestUnknownKeyComesBackWhenTheOutageMayBeOver(t *testing.T) {
	const (
		outage = 8 * time.Second
		step   = 10 * time.Millisecond
	)
	all, twice := 0, 0
	waits := map[time.Duration]bool{}
	for age := staleAfter + step; age < outage; age += step {
		h := &Handler{Options: Options{ConfigSource: sourceOfAge(age)}}
		failure := h.unknown(outcome.ReasonUnauthorized, "the key is not known")
		waits[failure.RetryAfter] = true
		all++
		if age+failure.RetryAfter < outage {
			twice++
		}
	}
	if twice > all/2 {
		t.Errorf("%d of %d callers are refused twice", twice, all)
	}
	if len(waits) < all/2 {
		t.Errorf("%d callers come back at %d different times", all, len(waits))
	}
}
