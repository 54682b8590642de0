package api

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumcroft/internal/outcome"
	"geraniumcroft/internal/router"
)

const shortStream = `{"model":"d","stream":true,"messages":[{"role":"user","content":"x"}]}`

func post(t *testing.T, url, body string, header map[string]string) *http.Response {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range header {
		r.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { response.Body.Close() })
	return response
}

func readAll(t *testing.T, response *http.Response) string {
	t.Helper()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

func newTestServer(t *testing.T, f *fakeRouter, o Options) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(NewHandler(f, o))
	t.Cleanup(server.Close)
	return server
}

func TestChatWhole(t *testing.T) {
	Convey("Given a chat with two messages, one of them a list of parts", t, func() {
		var got router.GenerateRequest
		f := &fakeRouter{generate: func(ctx context.Context, r router.GenerateRequest, sink router.TokenSink) (router.GenerateResult, error) {
			got = r
			return tokens("Bay ", "\"3\"\n", "é")(ctx, r, sink)
		}}
		server := newTestServer(t, f, Options{})
		response := post(t, server.URL+pathChat, `{"model":"drafts","max_tokens":7,"temperature":0.2,"user":"u",
			"messages":[{"role":"system","content":"be brief"},{"role":"user","content":[{"type":"text","text":"what  now "}]}]}`,
			map[string]string{"Idempotency-Key": "k-1", HeaderDeadline: "1500ms", "Authorization": "Bearer secret"})

		Convey("the router gets the profile, the prompt in pieces and the caller's limits", func() {
			So(got.Profile, ShouldEqual, "drafts")
			So(got.Prompt, ShouldResemble, []string{"be ", "brief", "what ", " ", "now "})
			So(got.MaxTokens, ShouldEqual, 7)
			So(got.IdempotencyKey, ShouldEqual, "k-1")
			So(got.CallerTimeout, ShouldEqual, 1500*time.Millisecond)
			So(got.BearerKey.Reveal(), ShouldEqual, "secret")
		})

		Convey("the caller gets the complete text, the usage and the outcome", func() {
			var answer generationResponse
			So(json.Unmarshal([]byte(readAll(t, response)), &answer), ShouldBeNil)
			So(answer.ID, ShouldEqual, "chatcmpl-"+response.Header.Get(HeaderRequestID))
			So(answer.Object, ShouldEqual, "chat.completion")
			So(answer.Choices[0].Message.Content, ShouldEqual, "Bay \"3\"\né")
			So(answer.Choices[0].FinishReason, ShouldEqual, "stop")
			So(answer.Usage, ShouldResemble, usage{PromptTokens: 5, CompletionTokens: 3, TotalTokens: 8})
			So(response.Header.Get(HeaderOutcome), ShouldEqual, "complete")
		})
	})
}

// sseEvent is one server-sent event.
type sseEvent struct{ name, data string }

// readEvents reads a stream to its end and returns its events and the number of its
// comments.
func readEvents(t *testing.T, body io.Reader) (events []sseEvent, comments int) {
	t.Helper()
	scanner := bufio.NewScanner(body)
	var event sseEvent
	for scanner.Scan() {
		switch line := scanner.Text(); {
		case line == "" && event.data != "":
			events = append(events, event)
			event = sseEvent{}
		case strings.HasPrefix(line, ":"):
			comments++
		case strings.HasPrefix(line, "event: "):
			event.name = line[len("event: "):]
		case strings.HasPrefix(line, "data: "):
			event.data = line[len("data: "):]
		}
	}
	return events, comments
}

// chunk is the data of an event: a chunk of text, an error or an outcome.
type chunk struct {
	ID      string
	Object  string
	Choices []struct {
		Delta        generationMessage
		Text         string
		FinishReason *string `json:"finish_reason"`
	}
	Usage     *usage
	Error     *streamErrorBody
	Outcome   string
	Reason    string
	Tokens    int
	RequestID string
}

func parseChunk(t *testing.T, data string) chunk {
	t.Helper()
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		t.Fatalf("%v in %s", err, data)
	}
	return c
}

func TestStreamEndsWithItsOutcome(t *testing.T) {
	texts := []string{"a ", "\"quoted\"\\\n", "\x01", "é", "\xff", "</script>", "z"}
	f := &fakeRouter{generate: tokens(texts...)}
	server := newTestServer(t, f, Options{})
	for _, test := range []struct{ path, body string }{
		{pathChat, `{"model":"d","stream":true,"stream_options":{"include_usage":true},"messages":[{"role":"user","content":"x y"}]}`},
		{pathCompletions, `{"model":"d","stream":true,"stream_options":{"include_usage":true},"prompt":"x y"}`},
	} {
		response := post(t, server.URL+test.path, test.body, nil)
		events, _ := readEvents(t, response.Body)
		if len(events) != len(texts)+4 {
			t.Fatalf("%s: %d events: %q", test.path, len(events), events)
		}
		text := ""
		for _, event := range events[:len(texts)] {
			c := parseChunk(t, event.data)
			text += c.Choices[0].Delta.Content + c.Choices[0].Text
		}
		if want := strings.ToValidUTF8(strings.Join(texts, ""), "\ufffd"); text != want {
			t.Errorf("text %q, want %q", text, want)
		}
		end := events[len(texts):]
		if c := parseChunk(t, end[0].data); *c.Choices[0].FinishReason != "stop" {
			t.Errorf("finish %+v", c)
		}
		if c := parseChunk(t, end[1].data); len(c.Choices) != 0 || c.Usage.TotalTokens != 2+len(texts) {
			t.Errorf("usage %+v", c)
		}
		c := parseChunk(t, end[2].data)
		if end[2].name != "outcome" || c.Outcome != "complete" || c.Tokens != len(texts) || c.RequestID != response.Header.Get(HeaderRequestID) {
			t.Errorf("outcome event %+v %+v", end[2], c)
		}
		if len(c.Choices) != 1 || c.Choices[0].FinishReason != nil {
			t.Errorf("the outcome event is not a valid chunk without text: %+v", c)
		}
		if end[3].data != "[DONE]" {
			t.Errorf("last event %+v", end[3])
		}
		if response.Trailer.Get(HeaderOutcome) != "complete" {
			t.Errorf("trailer %v", response.Trailer)
		}
	}
}

// A stream that is refused before its first token is answered with an error status
// and a problem body, not with a 200 and an error event: the status is not sent
// before the first token.
func TestStreamRefusedBeforeFirstToken(t *testing.T) {
	Convey("A stream that is refused before its first token is answered with a problem", t, func() {
		f := &fakeRouter{generate: func(context.Context, router.GenerateRequest, router.TokenSink) (router.GenerateResult, error) {
			return router.GenerateResult{}, outcome.Refuse(outcome.ReasonOverloaded, "Full.").WithRetryAfter(1200 * time.Millisecond)
		}}
		server := newTestServer(t, f, Options{})
		response := post(t, server.URL+pathChat, shortStream, nil)
		expectProblem(t, response, http.StatusServiceUnavailable, outcome.NotRun, outcome.ReasonOverloaded)
		So(response.Header.Get("Retry-After"), ShouldEqual, "2")
	})
}

// A stream that fails after some tokens ends with an error chunk and the outcome,
// without [DONE], which clients treat as success.
func TestStreamFailsAfterTokens(t *testing.T) {
	Convey("Given a stream that fails after a token", t, func() {
		f := &fakeRouter{generate: func(_ context.Context, _ router.GenerateRequest, sink router.TokenSink) (router.GenerateResult, error) {
			_ = sink.Token(0, "a")
			return router.GenerateResult{}, outcome.Uncertain(outcome.ReasonTargetFailed, "Died.")
		}}
		server := newTestServer(t, f, Options{})
		response := post(t, server.URL+pathChat, shortStream, nil)
		events, _ := readEvents(t, response.Body)
		So(events, ShouldHaveLength, 3)

		Convey("an error chunk follows the token", func() {
			c := parseChunk(t, events[1].data)
			So(c.Error, ShouldNotBeNil)
			So(c.Error.Code, ShouldEqual, "target-failed")
			So(c.Error.Status, ShouldEqual, 502)
		})

		Convey("the last event and the trailer carry the outcome", func() {
			c := parseChunk(t, events[2].data)
			So(c.Outcome, ShouldEqual, "unknown")
			So(c.Reason, ShouldEqual, "target-failed")
			So(c.Tokens, ShouldEqual, 1)
			So(response.Trailer.Get(HeaderOutcome), ShouldEqual, "unknown")
		})
	})
}

// If the caller closes its connection, the request's context is cancelled even
// while no token is being written, and with it the engines' streams.
func TestClosedConnectionCancelsRequest(t *testing.T) {
	cancelled := make(chan struct{})
	f := &fakeRouter{generate: func(ctx context.Context, _ router.GenerateRequest, sink router.TokenSink) (router.GenerateResult, error) {
		_ = sink.Token(0, "a")
		<-ctx.Done()
		close(cancelled)
		return router.GenerateResult{}, outcome.Uncertain(outcome.ReasonCallerGone, "Gone.")
	}}
	server := newTestServer(t, f, Options{ReadTimeout: time.Hour})
	response := post(t, server.URL+pathChat, shortStream, nil)
	if _, err := bufio.NewReader(response.Body).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	<-cancelled
}
