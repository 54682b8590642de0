package api

// format describes how chat and plain completions differ.
type format struct {
	idPrefix    string
	object      string
	chunkObject string
	// parse returns the parsed body, and what is wrong with it, or "".
	parse func(body []byte, maxPieces int) (parsedBody, string)
	// A chunk's choice consists of choicePrefix, the text as a JSON string and
	// choiceSuffix. The first chunk of a stream starts with firstChoicePrefix; in a
	// chat that includes the role.
	firstChoicePrefix string
	choicePrefix      string
	choiceSuffix      string
	// finishPrefix is a choice without text up to the value of its finish reason.
	finishPrefix string
}

var chatFormat = format{
	idPrefix:          "chatcmpl-",
	object:            "chat.completion",
	chunkObject:       "chat.completion.chunk",
	parse:             parseChat,
	firstChoicePrefix: `{"index":0,"delta":{"role":"assistant","content":`,
	choicePrefix:      `{"index":0,"delta":{"content":`,
	choiceSuffix:      `},"logprobs":null,"finish_reason":null}`,
	finishPrefix:      `{"index":0,"delta":{},"logprobs":null,"finish_reason":`,
}

var completionFormat = format{
	idPrefix:          "cmpl-",
	object:            "text_completion",
	chunkObject:       "text_completion",
	parse:             parseCompletion,
	firstChoicePrefix: `{"index":0,"text":`,
	choicePrefix:      `{"index":0,"text":`,
	choiceSuffix:      `,"logprobs":null,"finish_reason":null}`,
	finishPrefix:      `{"index":0,"text":"","logprobs":null,"finish_reason":`,
}
