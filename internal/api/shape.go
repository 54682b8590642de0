package api

// shape is what differs between chat and plain completions.
type shape struct {
	idPrefix    string
	object      string
	chunkObject string
	parse       func(body []byte, maxPieces int) (parsedBody, string)
	// The text of a chunk stands between textBefore and textAfter; the first chunk
	// of a chat names the role as well.
	firstBefore string
	textBefore  string
	textAfter   string
	// emptyChoice is a choice without text, before its finish reason.
	emptyChoice string
}

var chatShape = shape{
	idPrefix:    "chatcmpl-",
	object:      "chat.completion",
	chunkObject: "chat.completion.chunk",
	parse:       parseChat,
	firstBefore: `{"index":0,"delta":{"role":"assistant","content":`,
	textBefore:  `{"index":0,"delta":{"content":`,
	textAfter:   `},"logprobs":null,"finish_reason":null}`,
	emptyChoice: `{"index":0,"delta":{},"logprobs":null,"finish_reason":`,
}

var completionShape = shape{
	idPrefix:    "cmpl-",
	object:      "text_completion",
	chunkObject: "text_completion",
	parse:       parseCompletion,
	firstBefore: `{"index":0,"text":`,
	textBefore:  `{"index":0,"text":`,
	textAfter:   `,"logprobs":null,"finish_reason":null}`,
	emptyChoice: `{"index":0,"text":"","logprobs":null,"finish_reason":`,
}
