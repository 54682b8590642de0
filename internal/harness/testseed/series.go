package testseed

import (
	"iter"
	"os"
	"strconv"
)

// firstSeed is the environment variable that moves every Series.
const firstSeed = "TEST_FIRST_SEED"

// Series yields count seeds for a test that draws its runs itself: from 0 on, or from
// the number in the environment, which a long run sets to another one in each round.
func Series(count uint64) iter.Seq[uint64] {
	first := fromEnvironment()
	return func(yield func(uint64) bool) {
		for n := range count {
			if !yield(first + n) {
				return
			}
		}
	}
}

func fromEnvironment() uint64 {
	value := os.Getenv(firstSeed)
	if value == "" {
		return 0
	}
	first, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		panic(firstSeed + ": " + err.Error())
	}
	return first
}
