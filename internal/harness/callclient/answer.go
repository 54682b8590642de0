package callclient

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// Answer is the response that a caller received.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Outcome is the outcome that the VM reported.
	Outcome   string
	RequestID string
	// Tokens are the texts of a generation's tokens. Body is the response to a call, or
	// the body of an error response.
	Tokens []string
	Body   string
	// FirstToken is the time to the first token, Took the time to the end of the
	// response. Both are measured from the sending of the request.
	FirstToken time.Duration
	Took       time.Duration
}

// Text returns the text of a generation.
func (a Answer) Text() string { return strings.Join(a.Tokens, "") }

// addEvent adds the data of one server-sent event.
func (a *Answer) addEvent(event, data string, started time.Time, onToken func(int)) error {
	if event == "outcome" {
		var final outcomeEvent
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
