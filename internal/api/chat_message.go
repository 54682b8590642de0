package api

import "encoding/json"

// chatMessage is one message of a chat.
type chatMessage struct {
	Role string `json:"role"`
	// Content is a string, a list of text parts, or null.
	Content json.RawMessage `json:"content"`
}

// addTo adds the message's text to the splitter. It returns what is wrong with
// the content, or "".
func (m chatMessage) addTo(splitter *promptSplitter) string {
	if len(m.Content) == 0 || string(m.Content) == "null" {
		return ""
	}
	if m.Content[0] == '"' {
		var text string
		if err := json.Unmarshal(m.Content, &text); err != nil {
			return "A message's content is not a string."
		}
		splitter.add(text)
		return ""
	}
	return m.addParts(splitter)
}

func (m chatMessage) addParts(splitter *promptSplitter) string {
	var parts []contentPart
	if err := json.Unmarshal(m.Content, &parts); err != nil {
		return "A message's content is neither a string nor a list of parts."
	}
	for _, part := range parts {
		if part.Type != "text" {
			return "Only parts of the type text are served."
		}
		splitter.add(part.Text)
	}
	return ""
}
