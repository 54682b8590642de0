package loadgen

import (
	"encoding/json"
	"net/http"
)

// problem contains the fields of a refusal's body that are checked.
type problem struct {
	Outcome   string `json:"outcome"`
	Reason    string `json:"reason"`
	RequestID string `json:"requestId"`
}

// readRefusal records and checks a response with an error status.
func (r *result) readRefusal(response *http.Response, body []byte) {
	r.setOutcomeFromHeader(response.Header)
	var p problem
	if err := json.Unmarshal(body, &p); err != nil {
		r.addFault(CheckProblemBody, "status %d: %v", response.StatusCode, err)
		return
	}
	r.reason = p.Reason
	if p.Outcome != string(r.ending) {
		r.addFault(CheckOneOutcome, "header %q, problem body %q", r.ending, p.Outcome)
	}
	if r.ending == EndComplete {
		r.addFault(CheckOneOutcome, "complete with status %d and a problem body", response.StatusCode)
	}
	if p.RequestID != response.Header.Get(headerRequestID) {
		r.addFault(CheckOwnAnswer, "header names request %q, problem body %q", response.Header.Get(headerRequestID), p.RequestID)
	}
}

// setOutcomeFromHeader records the outcome in the header of a response that is not
// streamed.
func (r *result) setOutcomeFromHeader(header http.Header) {
	values := header.Values(headerOutcome)
	if len(values) != 1 {
		r.addFault(CheckOneOutcome, "%d outcome headers", len(values))
		return
	}
	r.setOutcome(values[0])
}

// setOutcome records the outcome of a response. An unknown outcome and a second outcome
// are faults.
func (r *result) setOutcome(outcome string) {
	ending := Ending(outcome)
	if ending != EndComplete && ending != EndNotRun && ending != EndUnknown {
		r.addFault(CheckOneOutcome, "outcome %q", outcome)
		return
	}
	if r.ending != EndNoAnswer {
		r.addFault(CheckOneOutcome, "%q after %q", ending, r.ending)
	}
	r.ending = ending
}
