package stall

import "testing"

// Guards against slow paths that are asked without end.
func TestQuestionsAreBoundedBySends(t *testing.T) {
	budget := NewProbeBudget()
	const sends = 500
	taken := 0
	for range sends {
		budget.Sent()
		for range 3 {
			if budget.Take() {
				taken++
			}
		}
	}
	if most := int(sends*questionsPerSend + maxQuestions); taken > most || float64(taken) < sends*questionsPerSend {
		t.Errorf("%d questions for %d sends, %d are allowed", taken, sends, most)
	}
}
