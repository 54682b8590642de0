package api

import "encoding/json"

// chatBody is the body of a chat completion.
type chatBody struct {
	commonBody
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
	Messages            []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role string `json:"role"`
	// Content is a string or a list of parts.
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
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

func (m chatMessage) addTo(p *prompt) string {
	if len(m.Content) == 0 || string(m.Content) == "null" {
		return ""
	}
	if m.Content[0] == '"' {
		var text string
		if err := json.Unmarshal(m.Content, &text); err != nil {
			return "A message's content is not a string."
		}
		p.add(text)
		return ""
	}
	return m.addParts(p)
}

func (m chatMessage) addParts(p *prompt) string {
	var parts []contentPart
	if err := json.Unmarshal(m.Content, &parts); err != nil {
		return "A message's content is neither a string nor a list of parts."
	}
	for _, part := range parts {
		if part.Type != "text" {
			return "Only parts of the type text are served."
		}
		p.add(part.Text)
	}
	return ""
}
