package relay

// maxUnsentTries bounds the tries of one call that ended before a byte was sent.
const maxUnsentTries = 8

// callTries are the tries of one call so far. A try that ended before a byte was sent, as at a
// replica that refuses connections, takes up none of the profile's attempts and no retry budget.
type callTries struct {
	// targets are those that were tried, each once.
	targets []string
	// arrived is how many of the tries may have reached their target.
	arrived     int
	lastArrived bool
}

// add notes a try that has ended.
func (t *callTries) add(target string, arrived bool) {
	t.targets = append(t.targets, target)
	t.lastArrived = arrived
	if arrived {
		t.arrived++
	}
}

// spent reports whether no further try may follow.
func (t *callTries) spent(maxAttempts int) bool {
	return t.arrived >= max(1, maxAttempts) || len(t.targets)-t.arrived >= maxUnsentTries
}
