package api

import "encoding/json"

type chatMessage struct {
	Role string `json:"role"`
	// Content is a string or a list of parts.
	Content json.RawMessage `json:"content"`
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
