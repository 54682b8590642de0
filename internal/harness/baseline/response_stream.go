package baseline

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// responseStream writes the response to one caller. If it fails before the first token, it is an HTTP
// error.
type responseStream struct {
	id      string
	w       http.ResponseWriter
	control *http.ResponseController
	tokens  int
}

// writeToken sends one token. The first one also sends the header.
func (a *responseStream) writeToken(text string) error {
	if a.tokens == 0 {
		a.setHeader()
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

func (a *responseStream) setHeader() {
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.Header().Set(headerRequestID, a.id)
}

// finish ends the response. If err is not nil, the outcome is unknown.
func (a *responseStream) finish(err error) {
	outcome := outcomeComplete
	if err != nil {
		outcome = outcomeUnknown
	}
	if a.tokens == 0 && err != nil {
		a.w.Header().Set(headerOutcome, outcome)
		a.w.Header().Set(headerRequestID, a.id)
		http.Error(a.w, err.Error(), http.StatusBadGateway)
		return
	}
	if a.tokens == 0 {
		a.setHeader()
	}
	_, _ = fmt.Fprintf(a.w, "event: outcome\ndata: {\"outcome\":%q,\"tokens\":%d}\n\n", outcome, a.tokens) // the caller notices a failed write
}
