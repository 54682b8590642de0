package loadgen

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	dataPrefix  = []byte("data:")
	eventPrefix = []byte("event:")
	doneData    = []byte("[DONE]")
)

// streamEvent contains the fields of a stream's events that are checked.
type streamEvent struct {
	ID      string `json:"id"`
	Model   string `json:"model"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Outcome   string `json:"outcome"`
	Reason    string `json:"reason"`
	Tokens    int    `json:"tokens"`
	RequestID string `json:"requestId"`
}

// stream reads and checks the server-sent events of one response.
type stream struct {
	r         *result
	due       time.Time
	requestID string
	anyText   bool
	name      string    // of the current event
	last      time.Time // when the last token was received
	done      bool      // [DONE] was received
}

func newStream(r *result, due time.Time, requestID string, anyText bool) *stream {
	return &stream{r: r, due: due, requestID: requestID, anyText: anyText}
}

// read reads the stream to its end.
func (s *stream) read(body *bufio.Reader) {
	for {
		line, err := body.ReadSlice('\n')
		if err != nil {
			s.finish(err)
			return
		}
		s.processLine(bytes.TrimRight(line, "\r\n"))
	}
}

// processLine handles one line of the stream, without its line end.
func (s *stream) processLine(line []byte) {
	switch {
	case len(line) == 0:
		s.name = ""
	case bytes.HasPrefix(line, eventPrefix):
		s.name = string(bytes.TrimSpace(line[len(eventPrefix):]))
	case bytes.HasPrefix(line, dataPrefix):
		s.processData(bytes.TrimSpace(line[len(dataPrefix):]))
	}
}

// processData handles the data of one event.
func (s *stream) processData(data []byte) {
	if bytes.Equal(data, doneData) {
		s.done = true
		return
	}
	var e streamEvent
	if err := json.Unmarshal(data, &e); err != nil {
		s.r.addFault(CheckParses, "event %.60q: %v", data, err)
		return
	}
	if s.done {
		s.r.addFault(CheckEndOfStream, "an event after the end")
	}
	s.checkIdentity(&e)
	if s.name == "outcome" {
		s.processOutcome(&e)
		return
	}
	for _, choice := range e.Choices {
		if choice.Delta.Content != "" {
			s.addToken(choice.Delta.Content)
		}
	}
}

// checkIdentity checks that an event belongs to this request.
func (s *stream) checkIdentity(e *streamEvent) {
	if e.Model != "" && e.Model != s.r.arrival.Profile {
		s.r.addFault(CheckOwnAnswer, "an event for profile %q", e.Model)
	}
	if e.ID != "" && !strings.HasSuffix(e.ID, s.requestID) || e.RequestID != "" && e.RequestID != s.requestID {
		s.r.addFault(CheckOwnAnswer, "event of %q%q in the stream of %q", e.ID, e.RequestID, s.requestID)
	}
}

// addToken records a token and the time since the previous one.
func (s *stream) addToken(text string) {
	now := time.Now()
	if s.r.ending != EndNoAnswer {
		s.r.addFault(CheckOneOutcome, "token %q after the outcome", text)
	}
	if want := "t" + strconv.Itoa(s.r.tokens) + " "; !s.anyText && text != want {
		s.r.addFault(CheckTokens, "%q in place of %q", text, want)
	}
	if s.r.tokens == 0 {
		s.r.first = now.Sub(s.due)
	} else {
		s.r.between = append(s.r.between, now.Sub(s.last))
	}
	s.last = now
	s.r.tokens++
}

// processOutcome records the outcome event.
func (s *stream) processOutcome(e *streamEvent) {
	s.r.setOutcome(e.Outcome)
	s.r.reason = e.Reason
	s.r.whole = time.Since(s.due)
	if e.Tokens != s.r.tokens {
		s.r.addFault(CheckTokenCount, "%d tokens told, %d received", e.Tokens, s.r.tokens)
	}
	if s.r.ending == EndNotRun && s.r.tokens > 0 {
		s.r.addFault(CheckOneOutcome, "not-run after %d tokens", s.r.tokens)
	}
}

// finish handles the end of the body. A stream that breaks off before its outcome ends
// with EndNoAnswer, which the report counts; this is no fault, since a router that
// crashes cannot send an outcome. A stream that ends in order without an outcome is one.
func (s *stream) finish(err error) {
	if errors.Is(err, bufio.ErrBufferFull) {
		s.r.addFault(CheckParses, "a line above %d bytes", maxLine)
	}
	if s.r.ending == EndNoAnswer {
		s.r.reason = errorReason(err)
		if errors.Is(err, io.EOF) {
			s.r.addFault(CheckOneOutcome, "the stream ended in order without an outcome")
		}
		return
	}
	if !s.done {
		s.r.addFault(CheckEndOfStream, "ended without [DONE]: %v", err)
	}
}

// checkTrailer compares the outcome in the trailer, if there is one, with that of the
// outcome event.
func (s *stream) checkTrailer(trailer http.Header) {
	if got := trailer.Get(headerOutcome); got != "" && s.r.ending != EndNoAnswer && got != string(s.r.ending) {
		s.r.addFault(CheckOneOutcome, "event %q, trailer %q", s.r.ending, got)
	}
}
