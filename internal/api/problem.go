package api

import (
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"geraniumcroft/internal/outcome"
)

// Problem is an RFC 9457 problem body.
type Problem struct {
	Type      string          `json:"type"`
	Title     string          `json:"title"`
	Status    int             `json:"status"`
	Detail    string          `json:"detail"`
	Instance  string          `json:"instance"`
	Outcome   outcome.Outcome `json:"outcome"`
	Reason    outcome.Reason  `json:"reason"`
	RequestID string          `json:"requestId"`
}

var problemTitles = map[outcome.Outcome]string{
	outcome.NotRun:  "The request was not run",
	outcome.Unknown: "The request may have run",
}

// refuse answers a request that has not reached the router with a problem body, and
// reports it to OnRefused.
func (x *exchange) refuse(f *outcome.Failure) {
	x.options.OnRefused(x.requestID, x.profile, f)
	x.writeProblem(f)
}

// writeProblem answers with a problem body. It tells clients not to retry, unless
// the request was not run and the failure has a RetryAfter.
func (x *exchange) writeProblem(f *outcome.Failure) {
	status := f.Reason.Status()
	body, err := json.Marshal(Problem{
		Type:      "urn:geraniumcroft:problem:" + string(f.Reason),
		Title:     problemTitles[f.Outcome],
		Status:    status,
		Detail:    f.Detail,
		Instance:  "urn:uuid:" + x.requestID,
		Outcome:   f.Outcome,
		Reason:    f.Reason,
		RequestID: x.requestID,
	})
	if err != nil {
		panic(err)
	}
	header := x.w.Header()
	if f.RetryAfter > 0 {
		header.Set("Retry-After", wholeSeconds(f.RetryAfter))
	}
	if f.Outcome == outcome.Unknown || f.RetryAfter == 0 {
		header.Set(headerShouldRetry, "false")
	}
	x.writeResponse(status, "application/problem+json", f.Outcome, body)
}

// writeResponse writes a response that is not streamed.
func (x *exchange) writeResponse(status int, contentType string, o outcome.Outcome, body []byte) {
	header := x.w.Header()
	header.Set(HeaderOutcome, o.String())
	header.Set("Content-Type", contentType)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	x.setWriteDeadline()
	x.w.WriteHeader(status)
	_, _ = x.w.Write(body)
}

// toFailure returns the router's error as a failure. An error of another type is a
// bug; its outcome is unknown, since the request may have run.
func toFailure(err error) *outcome.Failure {
	var failure *outcome.Failure
	if errors.As(err, &failure) {
		return failure
	}
	return outcome.Uncertain(outcome.ReasonInternal, "The router failed while it worked on the request.").WithCause(err)
}

// wholeSeconds returns d in seconds, rounded up: a caller that retries too early is
// refused again.
func wholeSeconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}
