package api

// chatBody is the request body of a chat completion.
type chatBody struct {
	commonBody
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
	Messages            []chatMessage `json:"messages"`
}

// parseChat parses the body of a chat completion. The second result is empty, or
// the detail of the problem answer. max_completion_tokens takes precedence over
// max_tokens.
func parseChat(body []byte, maxPieces int) (parsedBody, string) {
	var b chatBody
	if problem := decodeObject(body, &b); problem != "" {
		return parsedBody{}, problem
	}
	maxTokens := b.MaxCompletionTokens
	if maxTokens == nil {
		maxTokens = b.MaxTokens
	}
	p, problem := b.parse(maxTokens)
	if problem != "" {
		return p, problem
	}
	p.prompt, problem = splitMessages(b.Messages, maxPieces)
	return p, problem
}

// splitMessages returns the pieces of all messages' texts, in order.
func splitMessages(messages []chatMessage, maxPieces int) ([]string, string) {
	splitter := promptSplitter{maxPieces: maxPieces}
	for _, message := range messages {
		if message.Role == "" {
			return nil, "A message has no role."
		}
		if problem := message.addTo(&splitter); problem != "" {
			return nil, problem
		}
	}
	return splitter.pieces, splitter.problem()
}
