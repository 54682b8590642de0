package api

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumcroft/internal/outcome"
	"geraniumcroft/internal/router"
)

// problemBody is a Problem as callers decode it.
type problemBody struct {
	Type, Title, Detail, Instance, Outcome, Reason, RequestID string
	Status                                                    int
}

// expectProblem checks the status, the headers and the problem body of a response.
func expectProblem(t *testing.T, response *http.Response, status int, o outcome.Outcome, reason outcome.Reason) {
	t.Helper()
	var p problemBody
	if err := json.NewDecoder(response.Body).Decode(&p); err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != status || p.Status != status || p.Outcome != o.String() || p.Reason != string(reason) {
		t.Errorf("status %d, problem %+v, want %d, %s, %s", response.StatusCode, p, status, o, reason)
	}
	if got := response.Header.Get("Content-Type"); got != "application/problem+json" {
		t.Errorf("content type %q", got)
	}
	if response.Header.Get(HeaderOutcome) != o.String() || p.RequestID == "" || response.Header.Get(HeaderRequestID) != p.RequestID {
		t.Errorf("headers %v for problem %+v", response.Header, p)
	}
}

// A request that is invalid or not supported gets a 4xx with a problem body whose
// outcome is not-run. It does not reach the router, so it uses no engine or service.
func TestInvalidInputIsRefused(t *testing.T) {
	const chatHead = `{"model":"d","messages":[{"role":"user","content":"x"}]`
	const good = chatHead + `}`
	long := strings.Repeat("k", 300)
	tests := []struct {
		name, method, path, body string
		header                   map[string]string
		status                   int
		reason                   outcome.Reason
	}{
		{name: "no body", body: ""},
		{name: "not JSON", body: "model=d"},
		{name: "half JSON", body: `{"model":"d"`},
		{name: "two objects", body: good + good},
		{name: "a list", body: `[` + good + `]`},
		{name: "no model", body: `{"messages":[{"role":"user","content":"x"}]}`},
		{name: "long model", body: `{"model":"` + long + `","messages":[{"role":"user","content":"x"}]}`},
		{name: "no messages", body: `{"model":"d"}`},
		{name: "no role", body: `{"model":"d","messages":[{"content":"x"}]}`},
		{name: "number as content", body: `{"model":"d","messages":[{"role":"user","content":3}]}`},
		{name: "image", body: `{"model":"d","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`},
		{name: "negative tokens", body: chatHead + `,"max_tokens":-1}`},
		{name: "no tokens", body: chatHead + `,"max_completion_tokens":0}`},
		{name: "too many tokens", body: chatHead + `,"max_tokens":99999999999999999999}`},
		{name: "half a token", body: chatHead + `,"max_tokens":1.5}`},
		{name: "tokens as a string", body: chatHead + `,"max_tokens":"7"}`},
		{name: "stream as a string", body: chatHead + `,"stream":"yes"}`},
		{name: "two choices", body: chatHead + `,"n":2}`},
		{name: "tools", body: chatHead + `,"tools":[{"type":"function"}]}`},
		{name: "JSON mode", body: chatHead + `,"response_format":{"type":"json_object"}}`},
		{name: "stop", body: chatHead + `,"stop":"\n"}`},
		{name: "two prompts", path: pathCompletions, body: `{"model":"d","prompt":["a","b"]}`},
		{name: "prompt of numbers", path: pathCompletions, body: `{"model":"d","prompt":[1,2]}`},
		{name: "empty prompt", path: pathCompletions, body: `{"model":"d","prompt":""}`},
		{name: "too many words", body: `{"model":"d","messages":[{"role":"user","content":"` + strings.Repeat(" ", 1000) + `"}]}`},
		{name: "body too large", body: `{"model":"d","x":"` + strings.Repeat("x", 5000) + `"}`, status: 413, reason: outcome.ReasonTooLarge},
		{name: "call too large", path: "/v1/profiles/p/calls", body: strings.Repeat("x", 5000), status: 413, reason: outcome.ReasonTooLarge},
		{name: "headers too long", body: good, header: map[string]string{"X-Long": strings.Repeat("x", 3000)}, status: 431, reason: outcome.ReasonHeadersTooLarge},
		{name: "key too long", body: good, header: map[string]string{"Idempotency-Key": long}},
		{name: "empty key", body: good, header: map[string]string{"Idempotency-Key": ""}},
		{name: "key with a blank", body: good, header: map[string]string{"Idempotency-Key": "a b"}},
		{name: "deadline without unit", body: good, header: map[string]string{HeaderDeadline: "1500"}},
		{name: "deadline in the past", body: good, header: map[string]string{HeaderDeadline: "-1s"}},
		{name: "deadline beyond a day", body: good, header: map[string]string{HeaderDeadline: "25h"}},
		{name: "deadline on a call", path: "/v1/profiles/p/calls", header: map[string]string{HeaderDeadline: "soon"}},
		{name: "long bearer", body: good, header: map[string]string{"Authorization": "Bearer " + strings.Repeat("x", 1100)}},
		{name: "unknown path", path: "/v1/models/x", status: 404, reason: outcome.ReasonNotFound},
		{name: "wrong method", method: http.MethodGet, path: pathChat, status: 405, reason: outcome.ReasonMethodNotAllowed},
	}
	f := &fakeRouter{}
	refused := 0
	server := newTestServer(t, f, Options{
		MaxBodyBytes: 4096, MaxHeaderBytes: 2048, MaxPromptPieces: 500,
		OnRefused: func(string, string, *outcome.Failure) { refused++ },
	})
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			method, path, status, reason := test.method, test.path, test.status, test.reason
			if method == "" {
				method = http.MethodPost
			}
			if path == "" {
				path = pathChat
			}
			if status == 0 {
				status, reason = http.StatusBadRequest, outcome.ReasonBadRequest
			}
			r, err := http.NewRequest(method, server.URL+path, strings.NewReader(test.body))
			if err != nil {
				t.Fatal(err)
			}
			for name, value := range test.header {
				r.Header.Set(name, value)
			}
			response, err := http.DefaultClient.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			expectProblem(t, response, status, outcome.NotRun, reason)
		})
	}
	if f.requests.Load() != 0 || refused != len(tests) {
		t.Errorf("%d requests reached the router, %d of %d were reported as refused", f.requests.Load(), refused, len(tests))
	}
}

// A body without a Content-Length is refused as well once it exceeds the limit.
func TestChunkedBodyTooLarge(t *testing.T) {
	f := &fakeRouter{}
	server := newTestServer(t, f, Options{MaxBodyBytes: 4096})
	r, _ := http.NewRequest(http.MethodPost, server.URL+pathChat, io.MultiReader(strings.NewReader(strings.Repeat("x", 9000))))
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	expectProblem(t, response, http.StatusRequestEntityTooLarge, outcome.NotRun, outcome.ReasonTooLarge)
}

func TestCallIsForwarded(t *testing.T) {
	Convey("Given a call whose stored response has a status chosen by the service", t, func() {
		var got router.CallRequest
		f := &fakeRouter{call: func(_ context.Context, r router.CallRequest) (router.CallResult, error) {
			got = r
			return router.CallResult{Status: 409, ContentType: "text/x", Body: []byte("held"), Replayed: true}, nil
		}}
		server := newTestServer(t, f, Options{})
		header := map[string]string{"Content-Type": "text/y", "Idempotency-Key": "k"}
		response := post(t, server.URL+"/v1/profiles/holds/calls", "body", header)

		Convey("the router gets the request unchanged", func() {
			So(got.Profile, ShouldEqual, "holds")
			So(string(got.Body), ShouldEqual, "body")
			So(got.BodyBytes, ShouldEqual, 4)
			So(got.ContentType, ShouldEqual, "text/y")
			So(got.IdempotencyKey, ShouldEqual, "k")
		})

		Convey("the caller gets the service's response unchanged, marked as replayed", func() {
			So(response.StatusCode, ShouldEqual, 409)
			So(readAll(t, response), ShouldEqual, "held")
			So(response.Header.Get("Content-Type"), ShouldEqual, "text/x")
			So(response.Header.Get(HeaderOutcome), ShouldEqual, "complete")
			So(response.Header.Get(HeaderReplayed), ShouldEqual, "true")
		})
	})
}

// If a bug makes the router panic or return an error of another type, the outcome
// is unknown and the client library is told not to retry.
func TestRouterBugIsAnsweredAsUnknown(t *testing.T) {
	calls := map[string]func(context.Context, router.CallRequest) (router.CallResult, error){
		"panics": func(context.Context, router.CallRequest) (router.CallResult, error) { panic("bug") },
		"returns an untyped error": func(context.Context, router.CallRequest) (router.CallResult, error) {
			return router.CallResult{}, io.ErrUnexpectedEOF
		},
	}
	for name, call := range calls {
		Convey("A router that "+name+" leads to the outcome unknown without a retry", t, func() {
			server := newTestServer(t, &fakeRouter{call: call}, Options{})
			response := post(t, server.URL+"/v1/profiles/p/calls", "", nil)
			expectProblem(t, response, http.StatusInternalServerError, outcome.Unknown, outcome.ReasonInternal)
			So(response.Header.Get(headerShouldRetry), ShouldEqual, "false")
		})
	}
}

func TestHealthAndReadiness(t *testing.T) {
	Convey("Given a VM that is ready", t, func() {
		f := &fakeRouter{}
		handler := NewHandler(f, Options{})
		status := func(path string) int {
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
			return recorder.Code
		}
		So(status(pathHealth), ShouldEqual, 200)
		So(status(pathReady), ShouldEqual, 200)

		Convey("it stays healthy when it is no longer ready", func() {
			f.unready.Store(true)
			So(status(pathHealth), ShouldEqual, 200)
			So(status(pathReady), ShouldEqual, 503)
		})
	})
}
