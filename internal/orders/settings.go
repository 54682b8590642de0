package orders

import "time"

// Settings bound the controller's pace. A zero field takes its default.
type Settings struct {
	// ReadBackInterval is how often an engine that agrees is read back.
	ReadBackInterval time.Duration
	// RetryInterval is how often one that does not agree is looked at.
	RetryInterval time.Duration
	// CallTimeout bounds one reading of an engine's state.
	CallTimeout time.Duration
	// OrderTimeout bounds the wait for the answer to an order.
	OrderTimeout time.Duration
	// MaxOrderDelay is the longest time from sending an order to its taking effect or
	// never doing so. It is at least OrderTimeout.
	MaxOrderDelay time.Duration
	// SettleTime is the longest time that a request dispatched before a drain was
	// confirmed can take to show in the engine's state.
	SettleTime time.Duration
	// LoadInterval spaces loads and MaxConcurrentLoads bounds how many run at once, for the
	// weight store is rate-limited.
	LoadInterval       time.Duration
	MaxConcurrentLoads int
	// Concurrency bounds the engines that are looked at side by side.
	Concurrency int
}

// The defaults of Settings.
const (
	DefaultReadBackInterval   = 30 * time.Second
	DefaultRetryInterval      = time.Second
	DefaultCallTimeout        = 2 * time.Second
	DefaultOrderTimeout       = 3 * time.Second
	DefaultMaxOrderDelay      = 10 * time.Second
	DefaultSettleTime         = 2 * time.Second
	DefaultLoadInterval       = 10 * time.Second
	DefaultMaxConcurrentLoads = 2
	DefaultConcurrency        = 32
)

// tick is the granularity of the controller's loop.
const tick = 250 * time.Millisecond

func (s *Settings) setDefaults() {
	setDuration(&s.ReadBackInterval, DefaultReadBackInterval)
	setDuration(&s.RetryInterval, DefaultRetryInterval)
	setDuration(&s.CallTimeout, DefaultCallTimeout)
	setDuration(&s.OrderTimeout, DefaultOrderTimeout)
	setDuration(&s.MaxOrderDelay, DefaultMaxOrderDelay)
	setDuration(&s.SettleTime, DefaultSettleTime)
	setDuration(&s.LoadInterval, DefaultLoadInterval)
	s.MaxOrderDelay = max(s.MaxOrderDelay, s.OrderTimeout)
	if s.MaxConcurrentLoads == 0 {
		s.MaxConcurrentLoads = DefaultMaxConcurrentLoads
	}
	if s.Concurrency == 0 {
		s.Concurrency = DefaultConcurrency
	}
}

func setDuration(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}
