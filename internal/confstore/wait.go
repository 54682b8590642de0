package confstore

import (
	"context"
	"slices"
	"time"
)

const (
	firstConfirmWait   = 2 * time.Millisecond
	longestConfirmWait = 100 * time.Millisecond
)

// Wait returns once every VM that may serve has confirmed the version, or with
// the names of those that have not when ctx ends.
func (s *Store) Wait(ctx context.Context, version uint64, confirmer Confirmer) Acceptance {
	wait := firstConfirmWait
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		acceptance := s.acceptance(version, confirmer)
		if acceptance.Accepted || ctx.Err() != nil {
			return acceptance
		}
		timer.Reset(wait)
		wait = min(2*wait, longestConfirmWait)
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
}

// acceptance counts this VM by its own store, whatever the confirmer says of it.
func (s *Store) acceptance(version uint64, confirmer Confirmer) Acceptance {
	confirmed, missing := confirmer.InForce(version)
	isHere := func(name string) bool { return name == s.options.VM }
	confirmed = slices.DeleteFunc(slices.Clone(confirmed), isHere)
	missing = slices.DeleteFunc(slices.Clone(missing), isHere)
	if s.InForceVersion() >= version {
		confirmed = append(confirmed, s.options.VM)
	} else {
		missing = append(missing, s.options.VM)
	}
	slices.Sort(confirmed)
	slices.Sort(missing)
	return Acceptance{Version: version, Accepted: len(missing) == 0, Confirmed: confirmed, Missing: missing}
}
