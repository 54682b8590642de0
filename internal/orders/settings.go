package orders

import "time"

// Settings bound the controller's pace. A zero field takes its default.
type Settings struct {
	// ReadBackEvery is how often an engine that agrees is read back.
	ReadBackEvery time.Duration
	// RetryEvery is how often one that does not agree is looked at.
	RetryEvery time.Duration
	// CallTimeout bounds one reading of an engine's state.
	CallTimeout time.Duration
	// OrderTimeout bounds the wait for the answer to an order.
	OrderTimeout time.Duration
	// MaxUnderWay is the longest time from sending an order to its taking effect or
	// never doing so. It is at least OrderTimeout.
	MaxUnderWay time.Duration
	// Settle is the longest time that a request dispatched before a drain was
	// confirmed can take to show in the engine's state.
	Settle time.Duration
	// LoadEvery spaces loads and MaxLoading bounds how many run at once, for the
	// weight store is rate-limited.
	LoadEvery  time.Duration
	MaxLoading int
	// Concurrency bounds the engines that are looked at side by side.
	Concurrency int
}

// The defaults of Settings.
const (
	DefaultReadBackEvery = 30 * time.Second
	DefaultRetryEvery    = time.Second
	DefaultCallTimeout   = 2 * time.Second
	DefaultOrderTimeout  = 3 * time.Second
	DefaultMaxUnderWay   = 10 * time.Second
	DefaultSettle        = 2 * time.Second
	DefaultLoadEvery     = 10 * time.Second
	DefaultMaxLoading    = 2
	DefaultConcurrency   = 32
)

// tick is the granularity of the controller's loop.
const tick = 250 * time.Millisecond

func (s *Settings) setDefaults() {
	setDuration(&s.ReadBackEvery, DefaultReadBackEvery)
	setDuration(&s.RetryEvery, DefaultRetryEvery)
	setDuration(&s.CallTimeout, DefaultCallTimeout)
	setDuration(&s.OrderTimeout, DefaultOrderTimeout)
	setDuration(&s.MaxUnderWay, DefaultMaxUnderWay)
	setDuration(&s.Settle, DefaultSettle)
	setDuration(&s.LoadEvery, DefaultLoadEvery)
	s.MaxUnderWay = max(s.MaxUnderWay, s.OrderTimeout)
	if s.MaxLoading == 0 {
		s.MaxLoading = DefaultMaxLoading
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
