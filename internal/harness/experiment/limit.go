package experiment

import "fmt"

// Limit is an upper or a lower limit of a figure.
type Limit struct {
	AtMost  *float64 `json:"atMost,omitempty"`
	AtLeast *float64 `json:"atLeast,omitempty"`
}

func atMost(value float64) *Limit  { return &Limit{AtMost: &value} }
func atLeast(value float64) *Limit { return &Limit{AtLeast: &value} }

func (l *Limit) met(value float64) bool {
	return (l.AtMost == nil || value <= *l.AtMost) && (l.AtLeast == nil || value >= *l.AtLeast)
}

// String returns the limit as reports print it, "" for nil.
func (l *Limit) String() string {
	switch {
	case l == nil:
		return ""
	case l.AtMost != nil:
		return fmt.Sprintf("<= %.4g", *l.AtMost)
	default:
		return fmt.Sprintf(">= %.4g", *l.AtLeast)
	}
}
