package confstore

import "geraniumcroft/internal/platform"

// hooks let tests remove a safeguard, to show that the proof notices.
type hooks struct {
	conditions func([]platform.Condition) []platform.Condition
}
