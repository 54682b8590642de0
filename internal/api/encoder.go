package api

import (
	"encoding/json"
	"strconv"
	"unicode/utf8"

	"geraniumcroft/internal/outcome"
)

const (
	eventEnd = "\n\n"
	comment  = ": waiting\n\n"
	doneData = "data: [DONE]\n\n"
)

// encoder writes a stream's events. What all chunks of a stream share is encoded
// once; a chunk is then appended to a buffer that is used again.
type encoder struct {
	g *generation
	// head is a chunk up to its choices, without "data: ".
	head []byte
	sent int
}

func newEncoder(g *generation) *encoder {
	head := append([]byte(nil), `{"id":`...)
	head = appendJSON(head, g.shape.idPrefix+g.RequestID)
	head = append(head, `,"object":"`+g.shape.chunkObject+`","created":`...)
	head = strconv.AppendInt(head, g.created.Unix(), 10)
	head = append(head, `,"model":`...)
	head = appendJSON(head, g.Profile)
	head = append(head, `,"choices":[`...)
	return &encoder{g: g, head: head}
}

func (e *encoder) token(b []byte, text string) []byte {
	before := e.g.shape.textBefore
	if e.sent == 0 {
		before = e.g.shape.firstBefore
	}
	e.sent++
	b = append(b, "data: "...)
	b = append(b, e.head...)
	b = append(b, before...)
	b = appendJSON(b, text)
	b = append(b, e.g.shape.textAfter...)
	return append(b, "]}"+eventEnd...)
}

// finish is the chunk that ends the choice, then the usage where it was asked for.
func (e *encoder) finish(b []byte, reason string, tokens int) []byte {
	b = append(b, "data: "...)
	b = append(b, e.head...)
	b = append(b, e.g.shape.emptyChoice...)
	b = appendJSON(b, reason)
	b = append(b, "}]}"+eventEnd...)
	if !e.g.includeUsage {
		return b
	}
	b = append(b, "data: "...)
	b = append(b, e.head...)
	b = append(b, `],"usage":`...)
	b = appendValue(b, e.g.usage(tokens))
	return append(b, "}"+eventEnd...)
}

// failed is the chunk at which OpenAI clients raise an error.
func (e *encoder) failed(b []byte, f *outcome.Failure) []byte {
	b = append(b, "data: "...)
	b = appendValue(b, streamError{Error: streamErrorBody{
		Message: f.Detail, Type: "server_error", Code: string(f.Reason), Status: f.Reason.Status(),
	}})
	return append(b, eventEnd...)
}

// outcome is the event that says how the request ended. Its data is a chunk with
// nothing in it as well, since there are clients that take every event for one.
func (e *encoder) outcome(b []byte, o outcome.Outcome, reason outcome.Reason) []byte {
	b = append(b, "event: outcome\ndata: "...)
	b = append(b, e.head...)
	b = append(b, e.g.shape.emptyChoice...)
	b = append(b, `null}],"outcome":"`...)
	b = append(b, o.String()...)
	if reason != "" {
		b = append(b, `","reason":"`...)
		b = append(b, reason...)
	}
	b = append(b, `","tokens":`...)
	b = strconv.AppendInt(b, int64(e.sent), 10)
	b = append(b, `,"requestId":`...)
	b = appendJSON(b, e.g.RequestID)
	return append(b, "}"+eventEnd...)
}

// appendJSON appends text as a JSON string. Most tokens need no escape and are
// copied; the rest goes through encoding/json.
func appendJSON(b []byte, text string) []byte {
	if !needsEscape(text) {
		b = append(b, '"')
		b = append(b, text...)
		return append(b, '"')
	}
	return appendValue(b, text)
}

func needsEscape(text string) bool {
	ascii := true
	for i := range len(text) {
		c := text[i]
		if c < ' ' || c == '"' || c == '\\' {
			return true
		}
		ascii = ascii && c < utf8.RuneSelf
	}
	return !ascii && !utf8.ValidString(text)
}

func appendValue(b []byte, value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return append(b, encoded...)
}
