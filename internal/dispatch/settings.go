package dispatch

import "time"

// Settings holds the limits on the attempts of a call.
type Settings struct {
	// MaxAttempts limits the attempts of one call, including hedges.
	MaxAttempts int
	// ConnectTimeout limits the time to connect to a target.
	ConnectTimeout time.Duration
	// AttemptTimeout limits one attempt of an idempotent call, so that time is left for
	// another target if the first does not respond. A call that is not idempotent is
	// limited by its deadline only, because it could not be retried anyway.
	AttemptTimeout time.Duration
	// HedgeAfter is the time after which an urgent idempotent call without a response
	// is sent to a second target. 0 disables hedging.
	HedgeAfter time.Duration
	// BudgetShare, BudgetBurst and BudgetPerSecond are the parameters of the RetryBudget,
	// see NewRetryBudget.
	BudgetShare     float64
	BudgetBurst     float64
	BudgetPerSecond float64
}

// DefaultSettings returns settings for data centres that are a quarter of a millisecond
// apart.
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
