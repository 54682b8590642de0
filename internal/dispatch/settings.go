package dispatch

import "time"

// Settings bound the attempts of one call.
type Settings struct {
	// MaxAttempts bounds the attempts of one request, hedges included.
	MaxAttempts int
	// ConnectTimeout bounds the wait for a connection.
	ConnectTimeout time.Duration
	// AttemptTimeout bounds one attempt of an idempotent call, so that a silent
	// target leaves time for another; a call that is not idempotent is bounded by
	// its deadline alone, as giving up earlier gains it nothing.
	AttemptTimeout time.Duration
	// HedgeAfter is how long an urgent idempotent call waits for its first attempt
	// before a second one goes to another target; 0 never hedges.
	HedgeAfter time.Duration
	// BudgetShare, BudgetBurst and BudgetPerSecond set the RetryBudget.
	BudgetShare     float64
	BudgetBurst     float64
	BudgetPerSecond float64
}

// DefaultSettings returns the settings for data centres a quarter of a
// millisecond apart.
func DefaultSettings() Settings {
	return Settings{
		MaxAttempts:     3,
		ConnectTimeout:  300 * time.Millisecond,
		AttemptTimeout:  800 * time.Millisecond,
		HedgeAfter:      150 * time.Millisecond,
		BudgetShare:     0.1,
		BudgetBurst:     20,
		BudgetPerSecond: 5,
	}
}
