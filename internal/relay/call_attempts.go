package relay

// maxUnsentAttempts bounds the attempts of one call that ended before a byte was sent.
const maxUnsentAttempts = 8

// callAttempts records the attempts of one call. An attempt that ended before a byte was sent, for
// example because the replica refused the connection, counts neither towards the profile's
// MaxAttempts nor against the retry budget.
type callAttempts struct {
	// targets are the names of the targets that were tried, each once.
	targets []string
	// arrived counts the attempts that may have reached their target.
	arrived     int
	lastArrived bool
}

// add records an attempt that has ended.
func (a *callAttempts) add(target string, arrived bool) {
	a.targets = append(a.targets, target)
	a.lastArrived = arrived
	if arrived {
		a.arrived++
	}
}

// exhausted reports whether no further attempt is allowed.
func (a *callAttempts) exhausted(maxAttempts int) bool {
	return a.arrived >= max(1, maxAttempts) || len(a.targets)-a.arrived >= maxUnsentAttempts
}
