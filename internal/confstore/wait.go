package confstore

import (
	"context"
	"slices"
	"time"
)

const (
	// initialConfirmInterval and maxConfirmInterval are the first and the longest time
	// between two calls of Confirmer.InForce. The time doubles with each call.
	initialConfirmInterval = 2 * time.Millisecond
	maxConfirmInterval     = 100 * time.Millisecond
)

// Wait returns when every VM that may serve requests has confirmed the version, or when
// ctx ends. In the latter case Acceptance.Missing lists the VMs that have not.
func (s *Store) Wait(ctx context.Context, version uint64, confirmer Confirmer) Acceptance {
	wait := initialConfirmInterval
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		acceptance := s.acceptance(version, confirmer)
		if acceptance.Accepted || ctx.Err() != nil {
			return acceptance
		}
		timer.Reset(wait)
		wait = min(2*wait, maxConfirmInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
}

// acceptance returns the current acceptance of the version. For this VM it uses the
// store's own version instead of the confirmer.
func (s *Store) acceptance(version uint64, confirmer Confirmer) Acceptance {
	confirmed, missing := confirmer.InForce(version)
	isThisVM := func(name string) bool { return name == s.options.VM }
	confirmed = slices.DeleteFunc(slices.Clone(confirmed), isThisVM)
	missing = slices.DeleteFunc(slices.Clone(missing), isThisVM)
	if s.InForceVersion() >= version {
		confirmed = append(confirmed, s.options.VM)
	} else {
		missing = append(missing, s.options.VM)
	}
	slices.Sort(confirmed)
	slices.Sort(missing)
	return Acceptance{Version: version, Accepted: len(missing) == 0, Confirmed: confirmed, Missing: missing}
}
