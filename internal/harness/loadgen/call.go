package loadgen

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"
)

// echoBody is the response of the stand-in service to a call. It contains the ID of
// the request and the body that was sent.
type echoBody struct {
	Executed string `json:"executed"`
	Echo     string `json:"echo"`
}

// sendCall calls a plain service and checks the response.
func (s *sender) sendCall(ctx context.Context, r *result, due time.Time) {
	a := r.arrival
	body := paddedText(fmt.Sprintf("call-%d-%d", s.options.Seed, a.Number), a.PromptTokens)
	response, err := s.post(ctx, a, "/v1/profiles/"+url.PathEscape(a.Profile)+"/calls", "text/plain", []byte(body))
	if err != nil {
		r.reason = errorReason(err)
		return
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		r.reason = errorReason(err)
		return
	}
	r.whole = time.Since(due)
	if response.StatusCode/100 != 2 && response.Header.Get("Content-Type") == "application/problem+json" {
		r.readRefusal(response, answer)
		return
	}
	r.setOutcomeFromHeader(response.Header)
	s.checkEcho(r, response, answer, body)
}

// checkEcho checks that the response belongs to the request, unless AnyText is set.
func (s *sender) checkEcho(r *result, response *http.Response, answer []byte, body string) {
	if s.options.AnyText {
		return
	}
	var got echoBody
	if err := json.Unmarshal(answer, &got); err != nil {
		r.addFault(CheckParses, "status %d: %v", response.StatusCode, err)
		return
	}
	if got.Echo != body {
		r.addFault(CheckOwnAnswer, "sent %.40q, answered for %.40q", body, got.Echo)
	}
	if id := response.Header.Get(headerRequestID); got.Executed != id {
		r.addFault(CheckOwnAnswer, "header names request %q, executed was %q", id, got.Executed)
	}
}
