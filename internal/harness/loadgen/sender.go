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
	// maxAnswer bounds a whole answer, maxLine one line of a stream.
	maxAnswer = 4 << 20
	maxLine   = 16 << 10
)

// sender sends one request at a time a goroutine and checks its answer.
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

// send sends the arrival, whose intended time is due, and returns what came of it.
func (s *sender) send(ctx context.Context, a Arrival, due time.Time) *result {
	ctx, cancel := context.WithDeadline(ctx, due.Add(s.options.Timeout))
	defer cancel()
	r := &result{arrival: a, ending: EndNoAnswer, late: time.Since(due)}
	if s.options.Profiles[a.ProfileIndex].Kind == KindCall {
		s.call(ctx, r, due)
	} else {
		s.chat(ctx, r, due)
	}
	if r.whole == 0 {
		r.whole = time.Since(due)
	}
	return r
}

// post sends a body without GetBody, so that net/http cannot send it twice by itself
// and every request that arrives is one that was meant.
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

// words returns n words, the first of which makes the text unique.
func words(first string, n int) string {
	return first + strings.Repeat(" w", max(0, n-1))
}
