package experiment

import (
	"slices"
)

// Figure is a quantity with a value for each repeat.
type Figure struct {
	Name string `json:"name"`
	Unit string `json:"unit"`
	// Median, Min and Max are those of Values.
	Median float64   `json:"median"`
	Min    float64   `json:"min"`
	Max    float64   `json:"max"`
	Values []float64 `json:"values"`
	// Wanted is the limit that the figure has to meet, nil if there is none.
	Wanted *Limit `json:"wanted,omitempty"`
	// Met is whether the median meets the limit, nil if there is none.
	Met *bool `json:"met,omitempty"`
}

// add adds the value of one repeat.
func (f *Figure) add(value float64) {
	f.Values = append(f.Values, value)
	sorted := slices.Sorted(slices.Values(f.Values))
	f.Min, f.Max = sorted[0], sorted[len(sorted)-1]
	f.Median = median(sorted)
	if f.Wanted != nil {
		met := f.Wanted.met(f.Median)
		f.Met = &met
	}
}

func median(sorted []float64) float64 {
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}
