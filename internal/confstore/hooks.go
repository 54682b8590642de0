package confstore

import "geraniumcroft/internal/platform"

// hooks let tests remove a safeguard, to show that a check detects its absence.
type hooks struct {
	// conditions returns the conditions that replace those of a proposal's transaction.
	conditions func([]platform.Condition) []platform.Condition
}
