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

// echo is the stand-in's answer to a call, which holds what it was sent.
type echo struct {
	Executed string `json:"executed"`
	Echo     string `json:"echo"`
}

func (s *sender) call(ctx context.Context, r *result, due time.Time) {
	a := r.arrival
	body := words(fmt.Sprintf("call-%d-%d", s.options.Seed, a.Number), a.PromptTokens)
	response, err := s.post(ctx, a, "/v1/profiles/"+url.PathEscape(a.Profile)+"/calls", "text/plain", []byte(body))
	if err != nil {
		r.reason = reasonOf(err)
		return
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		r.reason = reasonOf(err)
		return
	}
	r.whole = time.Since(due)
	if response.StatusCode/100 != 2 && response.Header.Get("Content-Type") == "application/problem+json" {
		r.refused(response, answer)
		return
	}
	r.endByHeader(response.Header)
	s.checkEcho(r, response, answer, body)
}

func (s *sender) checkEcho(r *result, response *http.Response, answer []byte, body string) {
	if s.options.AnyText {
		return
	}
	var got echo
	if err := json.Unmarshal(answer, &got); err != nil {
		r.fault(CheckParses, "status %d: %v", response.StatusCode, err)
		return
	}
	if got.Echo != body {
		r.fault(CheckOwnAnswer, "sent %.40q, answered for %.40q", body, got.Echo)
	}
	if id := response.Header.Get(headerRequestID); got.Executed != id {
		r.fault(CheckOwnAnswer, "header names request %q, executed was %q", id, got.Executed)
	}
}
