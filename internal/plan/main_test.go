package plan

import (
	"testing"

	"geraniumcroft/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }
