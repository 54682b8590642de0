package loadgen

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
)

type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// sendChat requests a streamed chat completion and checks the stream.
func (s *sender) sendChat(ctx context.Context, r *result, due time.Time) {
	a := r.arrival
	prompt := paddedText(fmt.Sprintf("chat-%d-%d", s.options.Seed, a.Number), a.PromptTokens)
	body, err := json.Marshal(chatRequest{
		Model:     a.Profile,
		Messages:  []chatMessage{{Role: "user", Content: prompt}},
		MaxTokens: a.MaxTokens,
		Stream:    true,
	})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	response, err := s.post(ctx, a, "/v1/chat/completions", "application/json", body)
	if err != nil {
		r.reason = errorReason(err)
		return
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		s.readChatRefusal(r, response, due)
		return
	}
	st := newStream(r, due, response.Header.Get(headerRequestID), s.options.AnyText)
	st.read(bufio.NewReaderSize(response.Body, maxLine))
	st.checkTrailer(response.Trailer)
}

// readChatRefusal reads a response whose status is not 200.
func (s *sender) readChatRefusal(r *result, response *http.Response, due time.Time) {
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		r.reason = errorReason(err)
		return
	}
	r.whole = time.Since(due)
	r.readRefusal(response, answer)
}

// errorReason returns a short name for a transport error. Reports count requests by
// this name, so it contains nothing that differs between requests.
func errorReason(err error) string {
	var failed *url.Error
	if errors.As(err, &failed) {
		err = failed.Err
	}
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	case errors.Is(err, context.Canceled):
		return "run ended"
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return "connection closed"
	}
	return "connection failed"
}
