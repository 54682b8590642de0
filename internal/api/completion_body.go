package api

import "encoding/json"

// completionBody is the request body of a plain completion.
type completionBody struct {
	commonBody
	// Prompt is a string or a list of one string.
	Prompt json.RawMessage `json:"prompt"`
}

// parseCompletion parses the body of a plain completion. The second result is
// empty, or the detail of the problem answer.
func parseCompletion(body []byte, maxPieces int) (parsedBody, string) {
	var b completionBody
	if problem := decodeObject(body, &b); problem != "" {
		return parsedBody{}, problem
	}
	p, problem := b.parse(b.MaxTokens)
	if problem != "" {
		return p, problem
	}
	text, problem := b.text()
	if problem != "" {
		return p, problem
	}
	splitter := promptSplitter{maxPieces: maxPieces}
	splitter.add(text)
	p.prompt = splitter.pieces
	return p, splitter.problem()
}

// text returns the prompt, and what is wrong with it, or "".
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
