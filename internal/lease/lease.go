package lease

// Lease is this VM's hold on a duty during one tenure.
type Lease struct {
	Duty   string
	Holder string
	// Fencing is higher than that of every earlier holder of the duty.
	Fencing uint64
	// Acquired is when this VM learned that it holds the lease.
	Acquired Reading

	nonce   string
	manager *Manager
}

// Check must be called immediately before each act under the lease. It returns nil while this
// tenure's view lasts, and otherwise a *LostError.
func (l Lease) Check() error {
	if l.manager == nil {
		return &LostError{Duty: l.Duty, Fencing: l.Fencing}
	}
	return l.manager.check(l)
}
