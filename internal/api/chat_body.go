package api

// chatBody is the body of a chat completion.
type chatBody struct {
	commonBody
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
	Messages            []chatMessage `json:"messages"`
}

func parseChat(body []byte, maxPieces int) (parsedBody, string) {
	var b chatBody
	if problem := decode(body, &b); problem != "" {
		return parsedBody{}, problem
	}
	maxTokens := b.MaxCompletionTokens
	if maxTokens == nil {
		maxTokens = b.MaxTokens
	}
	p, problem := b.parsed(maxTokens)
	if problem != "" {
		return p, problem
	}
	p.prompt, problem = messagesPrompt(b.Messages, maxPieces)
	return p, problem
}

// messagesPrompt takes the messages' texts in order.
func messagesPrompt(messages []chatMessage, maxPieces int) ([]string, string) {
	p := prompt{maxPieces: maxPieces}
	for _, message := range messages {
		if message.Role == "" {
			return nil, "A message has no role."
		}
		if problem := message.addTo(&p); problem != "" {
			return nil, problem
		}
	}
	return p.pieces, p.problem()
}
