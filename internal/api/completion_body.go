package api

import "encoding/json"

// completionBody is the body of a plain completion.
type completionBody struct {
	commonBody
	// Prompt is a string or a list with one string.
	Prompt json.RawMessage `json:"prompt"`
}

func parseCompletion(body []byte, maxPieces int) (parsedBody, string) {
	var b completionBody
	if problem := decode(body, &b); problem != "" {
		return parsedBody{}, problem
	}
	p, problem := b.parsed(b.MaxTokens)
	if problem != "" {
		return p, problem
	}
	text, problem := b.text()
	if problem != "" {
		return p, problem
	}
	cut := prompt{maxPieces: maxPieces}
	cut.add(text)
	p.prompt = cut.pieces
	return p, cut.problem()
}

func (b *completionBody) text() (text, problem string) {
	if json.Unmarshal(b.Prompt, &text) == nil {
		return text, ""
	}
	var list []string
	if json.Unmarshal(b.Prompt, &list) != nil || len(list) != 1 {
		return "", "The prompt is neither a string nor a list of one string."
	}
	return list[0], ""
}
