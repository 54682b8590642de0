package orders

import "time"

// Settings are the controller's intervals, timeouts and limits. A zero field takes its default.
type Settings struct {
	// ReadBackInterval is the time between two reads of an engine that matches its entry.
	ReadBackInterval time.Duration
	// RetryInterval is the time between two steps for an engine that does not match.
	RetryInterval time.Duration
	// CallTimeout bounds a read of an engine's state, a refresh of the configuration, and the
	// calls of the Drainer in one step.
	CallTimeout time.Duration
	// OrderTimeout bounds the wait for the answer to an order.
	OrderTimeout time.Duration
	// MaxOrderDelay is the time after which an order that was sent can no longer take effect. It
	// is at least OrderTimeout.
	MaxOrderDelay time.Duration
	// VisibilityDelay is the longest time until a request that was dispatched before a drain was
	// confirmed shows in the engine's state.
	VisibilityDelay time.Duration
	// LoadInterval is the least time between the starts of two loads and MaxConcurrentLoads
	// bounds those that run at once, because the weight store is rate-limited.
	LoadInterval       time.Duration
	MaxConcurrentLoads int
	// Concurrency bounds the steps that run at once, each for one engine.
	Concurrency int
}

// The defaults of Settings.
const (
	DefaultReadBackInterval   = 30 * time.Second
	DefaultRetryInterval      = time.Second
	DefaultCallTimeout        = 2 * time.Second
	DefaultOrderTimeout       = 3 * time.Second
	DefaultMaxOrderDelay      = 10 * time.Second
	DefaultVisibilityDelay    = 2 * time.Second
	DefaultLoadInterval       = 10 * time.Second
	DefaultMaxConcurrentLoads = 2
	DefaultConcurrency        = 32
)

// loopInterval is the pause between two rounds of the controller.
const loopInterval = 250 * time.Millisecond

func (s *Settings) setDefaults() {
	setDuration(&s.ReadBackInterval, DefaultReadBackInterval)
	setDuration(&s.RetryInterval, DefaultRetryInterval)
	setDuration(&s.CallTimeout, DefaultCallTimeout)
	setDuration(&s.OrderTimeout, DefaultOrderTimeout)
	setDuration(&s.MaxOrderDelay, DefaultMaxOrderDelay)
	setDuration(&s.VisibilityDelay, DefaultVisibilityDelay)
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
