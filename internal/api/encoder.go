package api

import (
	"encoding/json"
	"strconv"
	"unicode/utf8"

	"geraniumcroft/internal/outcome"
)

const (
	eventEnd  = "\n\n"
	comment   = ": waiting\n\n"
	doneEvent = "data: [DONE]\n\n"
)

// encoder encodes the server-sent events of one stream. The part that all chunks
// share is encoded once. The append methods append to b, so that the caller can
// reuse its buffer.
type encoder struct {
	g *generation
	// chunkHead is the start of each chunk up to its choices, without "data: ".
	chunkHead  []byte
	tokensSent int
}

func newEncoder(g *generation) *encoder {
	chunkHead := append([]byte(nil), `{"id":`...)
	chunkHead = appendString(chunkHead, g.format.idPrefix+g.RequestID)
	chunkHead = append(chunkHead, `,"object":"`+g.format.chunkObject+`","created":`...)
	chunkHead = strconv.AppendInt(chunkHead, g.created.Unix(), 10)
	chunkHead = append(chunkHead, `,"model":`...)
	chunkHead = appendString(chunkHead, g.Profile)
	chunkHead = append(chunkHead, `,"choices":[`...)
	return &encoder{g: g, chunkHead: chunkHead}
}

// appendToken appends the chunk for one token and counts the token.
func (e *encoder) appendToken(b []byte, text string) []byte {
	prefix := e.g.format.choicePrefix
	if e.tokensSent == 0 {
		prefix = e.g.format.firstChoicePrefix
	}
	e.tokensSent++
	b = append(b, "data: "...)
	b = append(b, e.chunkHead...)
	b = append(b, prefix...)
	b = appendString(b, text)
	b = append(b, e.g.format.choiceSuffix...)
	return append(b, "]}"+eventEnd...)
}

// appendFinish appends the chunk with the finish reason, then the usage chunk if
// the caller has requested it.
func (e *encoder) appendFinish(b []byte, reason string, tokens int) []byte {
	b = append(b, "data: "...)
	b = append(b, e.chunkHead...)
	b = append(b, e.g.format.finishPrefix...)
	b = appendString(b, reason)
	b = append(b, "}]}"+eventEnd...)
	if !e.g.includeUsage {
		return b
	}
	b = append(b, "data: "...)
	b = append(b, e.chunkHead...)
	b = append(b, `],"usage":`...)
	b = appendMarshaled(b, e.g.usage(tokens))
	return append(b, "}"+eventEnd...)
}

// appendError appends the error chunk, at which OpenAI clients raise an error.
func (e *encoder) appendError(b []byte, f *outcome.Failure) []byte {
	b = append(b, "data: "...)
	b = appendMarshaled(b, streamError{Error: streamErrorBody{
		Message: f.Detail, Type: "server_error", Code: string(f.Reason), Status: f.Reason.Status(),
	}})
	return append(b, eventEnd...)
}

// appendOutcome appends the event that names the outcome of the request. Its data
// is also a valid chunk without text, since some clients parse every event as a
// chunk.
func (e *encoder) appendOutcome(b []byte, o outcome.Outcome, reason outcome.Reason) []byte {
	b = append(b, "event: outcome\ndata: "...)
	b = append(b, e.chunkHead...)
	b = append(b, e.g.format.finishPrefix...)
	b = append(b, `null}],"outcome":"`...)
	b = append(b, o.String()...)
	if reason != "" {
		b = append(b, `","reason":"`...)
		b = append(b, reason...)
	}
	b = append(b, `","tokens":`...)
	b = strconv.AppendInt(b, int64(e.tokensSent), 10)
	b = append(b, `,"requestId":`...)
	b = appendString(b, e.g.RequestID)
	return append(b, "}"+eventEnd...)
}

// appendString appends text as a JSON string. Most tokens need no escaping and are
// copied; all others are encoded by encoding/json.
func appendString(b []byte, text string) []byte {
	if !needsEscape(text) {
		b = append(b, '"')
		b = append(b, text...)
		return append(b, '"')
	}
	return appendMarshaled(b, text)
}

// needsEscape reports whether text can't be copied into a JSON string unchanged:
// it holds a control character, a quote or a backslash, or is not valid UTF-8.
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

// appendMarshaled appends value as encoding/json encodes it. It panics if value
// can't be encoded.
func appendMarshaled(b []byte, value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return append(b, encoded...)
}
