package api

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}
