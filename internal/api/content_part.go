package api

// contentPart is one part of a message's content. Only the type "text" is
// supported.
type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}
