package api

import (
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"geraniumcroft/internal/outcome"
)

// Problem is the body of a refusal, as RFC 9457 has it.
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

var titles = map[outcome.Outcome]string{
	outcome.NotRun:  "The request was not run",
	outcome.Unknown: "The request may have run",
}

// refuse answers a request that the router has not seen.
func (x *exchange) refuse(f *outcome.Failure) {
	x.options.OnRefused(x.id, x.profile, f)
	x.fail(f)
}

// fail answers with a problem body.
func (x *exchange) fail(f *outcome.Failure) {
	status := f.Reason.Status()
	body, err := json.Marshal(Problem{
		Type:      "urn:geraniumcroft:problem:" + string(f.Reason),
		Title:     titles[f.Outcome],
		Status:    status,
		Detail:    f.Detail,
		Instance:  "urn:uuid:" + x.id,
		Outcome:   f.Outcome,
		Reason:    f.Reason,
		RequestID: x.id,
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
	x.answer(status, "application/problem+json", f.Outcome, body)
}

// answer writes a whole answer.
func (x *exchange) answer(status int, contentType string, o outcome.Outcome, body []byte) {
	header := x.w.Header()
	header.Set(HeaderOutcome, o.String())
	header.Set("Content-Type", contentType)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	x.boundWrite()
	x.w.WriteHeader(status)
	_, _ = x.w.Write(body)
}

// failureOf returns the router's error as a failure. An error of another type is
// a bug, of which nobody can say what had run.
func failureOf(err error) *outcome.Failure {
	var failure *outcome.Failure
	if errors.As(err, &failure) {
		return failure
	}
	return outcome.Uncertain(outcome.ReasonInternal, "The router failed while it worked on the request.").WithCause(err)
}

// wholeSeconds rounds up: a caller that comes back too early is refused again.
func wholeSeconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}
