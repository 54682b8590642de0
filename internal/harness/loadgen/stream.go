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

// streamEvent is one event of a stream, as far as it is checked.
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

// stream reads one server-sent stream of tokens.
type stream struct {
	r         *result
	due       time.Time
	requestID string
	anyText   bool
	// name is the present event's.
	name string
	last time.Time
	done bool
}

func newStream(r *result, due time.Time, requestID string, anyText bool) *stream {
	return &stream{r: r, due: due, requestID: requestID, anyText: anyText}
}

// read takes in the stream to its end.
func (s *stream) read(body *bufio.Reader) {
	for {
		line, err := body.ReadSlice('\n')
		if err != nil {
			s.finish(err)
			return
		}
		s.line(bytes.TrimRight(line, "\r\n"))
	}
}

func (s *stream) line(line []byte) {
	switch {
	case len(line) == 0:
		s.name = ""
	case bytes.HasPrefix(line, eventPrefix):
		s.name = string(bytes.TrimSpace(line[len(eventPrefix):]))
	case bytes.HasPrefix(line, dataPrefix):
		s.data(bytes.TrimSpace(line[len(dataPrefix):]))
	}
}

func (s *stream) data(data []byte) {
	if bytes.Equal(data, doneData) {
		s.done = true
		return
	}
	var e streamEvent
	if err := json.Unmarshal(data, &e); err != nil {
		s.r.fault(CheckParses, "event %.60q: %v", data, err)
		return
	}
	if s.done {
		s.r.fault(CheckEndOfStream, "an event after the end")
	}
	s.checkOwn(&e)
	if s.name == "outcome" {
		s.outcome(&e)
		return
	}
	for _, choice := range e.Choices {
		if choice.Delta.Content != "" {
			s.token(choice.Delta.Content)
		}
	}
}

func (s *stream) checkOwn(e *streamEvent) {
	if e.Model != "" && e.Model != s.r.arrival.Profile {
		s.r.fault(CheckOwnAnswer, "an event for profile %q", e.Model)
	}
	if e.ID != "" && !strings.HasSuffix(e.ID, s.requestID) || e.RequestID != "" && e.RequestID != s.requestID {
		s.r.fault(CheckOwnAnswer, "event of %q%q in the stream of %q", e.ID, e.RequestID, s.requestID)
	}
}

func (s *stream) token(text string) {
	now := time.Now()
	if s.r.ending != EndNoAnswer {
		s.r.fault(CheckOneOutcome, "token %q after the outcome", text)
	}
	if want := "t" + strconv.Itoa(s.r.tokens) + " "; !s.anyText && text != want {
		s.r.fault(CheckTokens, "%q in place of %q", text, want)
	}
	if s.r.tokens == 0 {
		s.r.first = now.Sub(s.due)
	} else {
		s.r.between = append(s.r.between, now.Sub(s.last))
	}
	s.last = now
	s.r.tokens++
}

func (s *stream) outcome(e *streamEvent) {
	s.r.end(e.Outcome)
	s.r.reason = e.Reason
	s.r.whole = time.Since(s.due)
	if e.Tokens != s.r.tokens {
		s.r.fault(CheckTokenCount, "%d tokens told, %d received", e.Tokens, s.r.tokens)
	}
	if s.r.ending == EndNotRun && s.r.tokens > 0 {
		s.r.fault(CheckOneOutcome, "not-run after %d tokens", s.r.tokens)
	}
}

// finish takes in the end of the body. A stream that breaks before its outcome leaves
// its caller without an answer; that is counted, and is no fault of a router that died.
func (s *stream) finish(err error) {
	if errors.Is(err, bufio.ErrBufferFull) {
		s.r.fault(CheckParses, "a line above %d bytes", maxLine)
	}
	if s.r.ending == EndNoAnswer {
		s.r.reason = reasonOf(err)
		if errors.Is(err, io.EOF) {
			s.r.fault(CheckOneOutcome, "the stream ended in order without an outcome")
		}
		return
	}
	if !s.done {
		s.r.fault(CheckEndOfStream, "ended without [DONE]: %v", err)
	}
}

// checkTrailer compares the trailer, where there is one, with the event.
func (s *stream) checkTrailer(trailer http.Header) {
	if told := trailer.Get(headerOutcome); told != "" && s.r.ending != EndNoAnswer && told != string(s.r.ending) {
		s.r.fault(CheckOneOutcome, "event %q, trailer %q", s.r.ending, told)
	}
}
