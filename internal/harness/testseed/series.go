package testseed

import (
	"iter"
	"os"
	"strconv"
)

// firstSeedVariable is the environment variable with the first seed of every Series.
const firstSeedVariable = "TEST_FIRST_SEED"

// Series yields count consecutive seeds, for tests that generate their own random runs.
// They start at 0, or at the value of TEST_FIRST_SEED, which long test runs set to another
// value in each round. It panics if that value is not an unsigned integer.
func Series(count uint64) iter.Seq[uint64] {
	first := firstSeed()
	return func(yield func(uint64) bool) {
		for n := range count {
			if !yield(first + n) {
				return
			}
		}
	}
}

// firstSeed returns the seed in the environment, or 0 without one.
func firstSeed() uint64 {
	value := os.Getenv(firstSeedVariable)
	if value == "" {
		return 0
	}
	first, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		panic(firstSeedVariable + ": " + err.Error())
	}
	return first
}
