package config

import "encoding/json"

// rawField is one field of a JSON object, with its value not yet decoded.
type rawField struct {
	name  string
	value json.RawMessage
	// repeated says that the object has an earlier field of the same name.
	repeated bool
}
