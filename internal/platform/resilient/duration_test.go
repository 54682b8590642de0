package resilient_test

import (
	"time"

	"geraniumcroft/internal/config"
)

func durationOf(d time.Duration) config.Duration { return config.Duration(d) }
