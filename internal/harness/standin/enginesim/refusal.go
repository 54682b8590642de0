package enginesim

import "geraniumcroft/internal/engine/httpengine"

// refusal is an error response.
type refusal struct {
	status  int
	Code    string `json:"code"`
	Message string `json:"message"`
}

func (r *refusal) asError() error {
	return &httpengine.RefusedError{Status: r.status, Code: r.Code, Message: r.Message}
}
