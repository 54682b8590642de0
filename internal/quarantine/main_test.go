package quarantine

import (
	"testing"

	"geraniumcroft/internal/harness/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }
