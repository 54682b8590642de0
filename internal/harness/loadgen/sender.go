package loadgen

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	headerOutcome   = "Geraniumcroft-Outcome"
	headerRequestID = "Geraniumcroft-Request-Id"
	// maxAnswer limits the bytes of a response that is not streamed, maxLine those of
	// a line of a stream.
	maxAnswer = 4 << 20
	maxLine   = 16 << 10
)

// sender sends requests and checks the responses. It is safe for concurrent use.
type sender struct {
	client  *http.Client
	options *Options
}

func newSender(o *Options) *sender {
	transport := &http.Transport{
		MaxIdleConnsPerHost: o.MaxInFlight,
		DisableCompression:  true,
	}
	return &sender{client: &http.Client{Transport: transport}, options: o}
}

func (s *sender) close() { s.client.CloseIdleConnections() }

// send sends one request, whose intended send time is due, and returns its result.
func (s *sender) send(ctx context.Context, a Arrival, due time.Time) *result {
	ctx, cancel := context.WithDeadline(ctx, due.Add(s.options.Timeout))
	defer cancel()
	r := &result{arrival: a, ending: EndNoAnswer, late: time.Since(due)}
	if s.options.Profiles[a.ProfileIndex].Kind == KindCall {
		s.sendCall(ctx, r, due)
	} else {
		s.sendChat(ctx, r, due)
	}
	if r.whole == 0 {
		r.whole = time.Since(due)
	}
	return r
}

// post sends a request without GetBody, so that net/http cannot retry it: each request
// that a router receives is one that the load generator sent on purpose.
func (s *sender) post(ctx context.Context, a Arrival, path, contentType string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.Router+path, nil)
	if err != nil {
		return nil, err
	}
	request.Body = io.NopCloser(bytes.NewReader(body))
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", contentType)
	if s.options.BearerKey != "" {
		request.Header.Set("Authorization", "Bearer "+s.options.BearerKey)
	}
	return s.client.Do(request)
}

// paddedText returns n words, of which the first is given. The caller passes a unique
// first word, so that the texts differ.
func paddedText(first string, n int) string {
	return first + strings.Repeat(" w", max(0, n-1))
}
