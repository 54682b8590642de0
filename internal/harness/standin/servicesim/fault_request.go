package servicesim

import "encoding/json"

// faultRequest is the body of POST /faults.
type faultRequest struct {
	Die     bool            `json:"die"`
	Silence bool            `json:"silence"`
	Set     json.RawMessage `json:"set"`
}
