package relay

import (
	"testing"
	"time"

	"geraniumcroft/internal/outcome"
)

// agedSource is a configuration source that was last confirmed that long ago.
type agedSource time.Duration

func (s agedSource) Config() *Config          { return nil }
func (s agedSource) ConfigAge() time.Duration { return time.Duration(s) }

// An operator adds a key while a VM is cut off from the store and from its peers. The VM cannot
// know the key, so its caller must not be refused as unauthorized, which callers treat as final. It
// is asked to retry, and then reaches a VM that knows the key, or this one again.
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
		h := &Handler{Options: Options{ConfigSource: agedSource(c.age)}}
		failure := h.refuseUnknown(outcome.ReasonUnauthorized, "the key is not known")
		if failure.Outcome != outcome.NotRun || failure.Reason != c.reason {
			t.Errorf("age %s: %s, %s", c.age, failure.Outcome, failure.Reason)
		}
		if c.reason == outcome.ReasonIsolated && failure.RetryAfter <= 0 {
			t.Errorf("age %s: refused without Retry-After", c.age)
		}
	}
}

// Guards against refusing callers twice during a store outage of 8 s. Callers with a key or path
// that this VM does not know are asked to retry, since it may have been added just before the
// outage. They retry as told, and only once: with 200 ms for all, 15 of 16 were refused twice. The
// time must grow with the age of the configuration and differ between callers that are refused
// together.
func TestUnknownKeyComesBackWhenTheOutageMayBeOver(t *testing.T) {
	const (
		outage = 8 * time.Second
		step   = 10 * time.Millisecond
	)
	all, twice := 0, 0
	waits := map[time.Duration]bool{}
	for age := staleAfter + step; age < outage; age += step {
		h := &Handler{Options: Options{ConfigSource: agedSource(age)}}
		failure := h.refuseUnknown(outcome.ReasonUnauthorized, "the key is not known")
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
		t.Errorf("%d callers retry at %d different times", all, len(waits))
	}
}
