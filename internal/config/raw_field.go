package config

import "encoding/json"

type rawField struct {
	name     string
	value    json.RawMessage
	repeated bool
}
