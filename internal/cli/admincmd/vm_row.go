package admincmd

// vmRow is what the table shows of a VM.
type vmRow struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	State      any    `json:"state"`
	Leaving    bool   `json:"leaving"`
	Version    uint64 `json:"version"`
	Address    string `json:"address"`
}
