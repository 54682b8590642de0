package loadgen

import (
	"encoding/json"
	"net/http"
)

// problem is the body of a refusal, as far as it is checked.
type problem struct {
	Outcome   string `json:"outcome"`
	Reason    string `json:"reason"`
	RequestID string `json:"requestId"`
}

// refused takes in an answer with an error status.
func (r *result) refused(response *http.Response, body []byte) {
	r.endByHeader(response.Header)
	var p problem
	if err := json.Unmarshal(body, &p); err != nil {
		r.fault(CheckProblemBody, "status %d: %v", response.StatusCode, err)
		return
	}
	r.reason = p.Reason
	if p.Outcome != string(r.ending) {
		r.fault(CheckOneOutcome, "header %q, problem body %q", r.ending, p.Outcome)
	}
	if r.ending == EndComplete {
		r.fault(CheckOneOutcome, "complete with status %d and a problem body", response.StatusCode)
	}
	if p.RequestID != response.Header.Get(headerRequestID) {
		r.fault(CheckOwnAnswer, "header names request %q, problem body %q", response.Header.Get(headerRequestID), p.RequestID)
	}
}

// endByHeader takes the outcome from a whole answer's header.
func (r *result) endByHeader(header http.Header) {
	values := header.Values(headerOutcome)
	if len(values) != 1 {
		r.fault(CheckOneOutcome, "%d outcome headers", len(values))
		return
	}
	r.end(values[0])
}

// end takes in the one outcome that an answer may tell.
func (r *result) end(outcome string) {
	ending := Ending(outcome)
	if ending != EndComplete && ending != EndNotRun && ending != EndUnknown {
		r.fault(CheckOneOutcome, "outcome %q", outcome)
		return
	}
	if r.ending != EndNoAnswer {
		r.fault(CheckOneOutcome, "%q after %q", ending, r.ending)
	}
	r.ending = ending
}
