package api

// streamError is the data of an error chunk.
type streamError struct {
	Error streamErrorBody `json:"error"`
}

type streamErrorBody struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Status  int    `json:"status"`
}
