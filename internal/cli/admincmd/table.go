package admincmd

import "encoding/json"

// table defines the header of a list of entities and the row of each entity.
type table struct {
	header []string
	row    func(item json.RawMessage) ([]string, error)
}
