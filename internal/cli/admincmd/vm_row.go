package admincmd

// vmRow holds the fields of a VM that the table shows.
type vmRow struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	State      any    `json:"state"`
	Leaving    bool   `json:"leaving"`
	Version    uint64 `json:"version"`
	Address    string `json:"address"`
}
