package baseline

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// answer is one caller's stream.
type answer struct {
	id      string
	w       http.ResponseWriter
	control *http.ResponseController
	tokens  int
}

func (a *answer) token(text string) error {
	if a.tokens == 0 {
		a.w.Header().Set("Content-Type", "text/event-stream")
		a.w.Header().Set(headerRequestID, a.id)
	}
	a.tokens++
	quoted, err := json.Marshal(text)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(a.w, "data: {\"choices\":[{\"delta\":{\"content\":%s}}]}\n\n", quoted); err != nil {
		return err
	}
	return a.control.Flush()
}

func (a *answer) end(failed error) {
	outcome := outcomeWhole
	if failed != nil {
		outcome = outcomeUnknown
	}
	if a.tokens == 0 {
		a.w.Header().Set(headerOutcome, outcome)
		a.w.Header().Set(headerRequestID, a.id)
		http.Error(a.w, fmt.Sprint(failed), http.StatusBadGateway)
		return
	}
	_, _ = fmt.Fprintf(a.w, "event: outcome\ndata: {\"outcome\":%q,\"tokens\":%d}\n\n", outcome, a.tokens) // the caller's loss shows on its side
}
