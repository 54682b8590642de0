package stall

// Answer is what became of the question to a stage.
type Answer uint8

// The answers of a stage that was asked for a connection.
const (
	// AnswerUnknown: it was not asked, or the question failed here.
	AnswerUnknown Answer = iota
	// AnswerTaken: it took the connection.
	AnswerTaken
	// AnswerRefused: nobody listens at its address.
	AnswerRefused
	// AnswerSilent: nothing came back.
	AnswerSilent
)

// Asked is a stage with its answer.
type Asked struct {
	Stage
	Answer Answer
}

// alivePerSilent is how many stages of a data centre must be alive for each that is silent.
const alivePerSilent = 3

// Stopped returns the stages that have stopped. A refusal is certain. Silence counts where
// most stages of the same data centre answered or were passed by other streams: else the way there
// may be cut, or this VM itself held up. An entry's silence says nothing: the connections of new
// requests may wait at its listener.
func Stopped(asked []Asked, passed []Stage) []Stage {
	alive, silent := map[string]int{}, map[string]int{}
	for _, stage := range passed {
		alive[stage.DataCentre]++
	}
	for _, a := range asked {
		switch a.Answer {
		case AnswerTaken, AnswerRefused:
			alive[a.DataCentre]++
		case AnswerSilent:
			if !a.Entry {
				silent[a.DataCentre]++
			}
		}
	}
	var stopped []Stage
	for _, a := range asked {
		certain := a.Answer == AnswerRefused
		likely := a.Answer == AnswerSilent && !a.Entry && alive[a.DataCentre] >= alivePerSilent*silent[a.DataCentre]
		if certain || likely {
			stopped = append(stopped, a.Stage)
		}
	}
	return stopped
}
