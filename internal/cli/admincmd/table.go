package admincmd

import "encoding/json"

// table is how one kind of entity is listed.
type table struct {
	header []string
	row    func(item json.RawMessage) ([]string, error)
}
