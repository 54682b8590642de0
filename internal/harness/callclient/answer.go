package callclient

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// Answer is what a caller got.
type Answer struct {
	// Status is the HTTP status, Outcome what the VM said of the request.
	Status    int
	Outcome   string
	RequestID string
	// Tokens are the pieces of a generation, Body a call's answer or a problem.
	Tokens []string
	Body   string
	// FirstToken and Took run from the sending of the request.
	FirstToken time.Duration
	Took       time.Duration
}

// Text returns a generation's text.
func (a Answer) Text() string { return strings.Join(a.Tokens, "") }

func (a *Answer) take(event, data string, started time.Time, onToken func(int)) error {
	if event == "outcome" {
		var final finalEvent
		if err := json.Unmarshal([]byte(data), &final); err != nil {
			return err
		}
		a.Outcome = final.Outcome
		if final.Outcome == "complete" && final.Tokens != len(a.Tokens) {
			return fmt.Errorf("the outcome counts %d tokens, the stream had %d", final.Tokens, len(a.Tokens))
		}
		return nil
	}
	var chunk chatChunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return err
	}
	if len(chunk.Choices) == 0 || chunk.Choices[0].Delta.Content == "" {
		return nil
	}
	if len(a.Tokens) == 0 {
		a.FirstToken = time.Since(started)
	}
	a.Tokens = append(a.Tokens, chunk.Choices[0].Delta.Content)
	if onToken != nil {
		onToken(len(a.Tokens) - 1)
	}
	return nil
}
