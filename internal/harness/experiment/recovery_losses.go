package experiment

import (
	"fmt"

	"geraniumcroft/internal/harness/standin/servicesim"
)

// loseNextAnswer makes one instance lose its next answer.
func (s *system) loseNextAnswer(number int) {
	name := fmt.Sprintf("permits-%d", number/lossInterval%recoveryPool.instances)
	s.Services[name].SetFaults(func(f *servicesim.Faults) { f.LoseResponses = 1 })
}

// executionsByBody returns the number of executions of each call, by its body.
func (s *system) executionsByBody() map[string]int {
	ran := map[string]int{}
	for _, service := range s.Services {
		for _, x := range service.Executions() {
			ran[x.Body]++
		}
	}
	return ran
}

// reportLosses adds the figures. before is what executionsByBody returned before the calls;
// outcomes has the outcome of each call by its body.
func (s *system) reportLosses(t *Trial, prefix string, before map[string]int, outcomes map[string]string) {
	ranTwice, wronglyNotRun, unknown := 0, 0, 0
	after := s.executionsByBody()
	for body, outcome := range outcomes {
		ran := after[body] - before[body]
		if ran > 1 {
			ranTwice++
		}
		if outcome == outcomeNotRun && ran > 0 {
			wronglyNotRun++
		}
		if outcome != outcomeNotRun && outcome != outcomeComplete {
			unknown++
		}
	}
	limit := atMost(0)
	if prefix != "" {
		limit = nil
	}
	t.limited(prefix+"lost answers: calls that ran twice", fmt.Sprintf("of %d", lossCalls/lossInterval), float64(ranTwice), limit)
	t.limited(prefix+"lost answers: ran though told not-run", "", float64(wronglyNotRun), limit)
	t.figure(prefix+"lost answers: told unknown", "", float64(unknown))
}
