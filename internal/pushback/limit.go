package pushback

// Limit is how many requests a second a replica takes from all VMs together. The zero Limit is none.
type Limit struct {
	// Named says that there is a limit; PerSecond may be 0.
	Named     bool
	PerSecond float64
}

// LimitOf returns a limit of so many requests a second.
func LimitOf(perSecond float64) Limit { return Limit{Named: true, PerSecond: perSecond} }
