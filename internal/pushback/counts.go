package pushback

// Counts says how many replicas have something in force.
type Counts struct {
	Limited int
}

// Counts returns how many replicas have something in force.
func (l *Ledger) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	var c Counts
	for _, s := range l.replicas {
		if s.limit.Named {
			c.Limited++
		}
	}
	return c
}
