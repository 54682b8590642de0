package servicesim

import "encoding/json"

// faultOrder is the body of POST /faults.
type faultOrder struct {
	Die     bool            `json:"die"`
	Silence bool            `json:"silence"`
	Set     json.RawMessage `json:"set"`
}
