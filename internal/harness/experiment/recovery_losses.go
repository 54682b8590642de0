package experiment

import (
	"fmt"

	"geraniumcroft/internal/harness/standin/servicesim"
)

// loseOne makes one instance lose its next answer.
func (s *scene) loseOne(number int) {
	name := fmt.Sprintf("permits-%d", number/lossEvery%recoveryPool.instances)
	s.Services[name].SetFaults(func(f *servicesim.Faults) { f.LoseResponses = 1 })
}

// ranByBody counts the executions of each call.
func (s *scene) ranByBody() map[string]int {
	ran := map[string]int{}
	for _, service := range s.Services {
		for _, x := range service.Executions() {
			ran[x.Body]++
		}
	}
	return ran
}

func (s *scene) reportLosses(t *Trial, prefix string, before map[string]int, outcomes map[string]string) {
	doubled, untrue, unknown := 0, 0, 0
	after := s.ranByBody()
	for body, told := range outcomes {
		ran := after[body] - before[body]
		if ran > 1 {
			doubled++
		}
		if told == outcomeNotRun && ran > 0 {
			untrue++
		}
		if told != outcomeNotRun && told != outcomeComplete {
			unknown++
		}
	}
	wanted := atMost(0)
	if prefix != "" {
		wanted = nil
	}
	t.limited(prefix+"lost answers: calls that ran twice", fmt.Sprintf("of %d", lossCalls/lossEvery), float64(doubled), wanted)
	t.limited(prefix+"lost answers: ran though told not-run", "", float64(untrue), wanted)
	t.figure(prefix+"lost answers: told unknown", "", float64(unknown))
}
