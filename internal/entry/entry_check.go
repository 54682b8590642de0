package entry

import (
	"strconv"

	"geraniumcroft/internal/relay"
)

// checkEntry returns an error if the configuration can't use the replica of an entry, nil if it
// can. Entries may come from another writer: a layer range beyond the model crashed the process
// that placed layers, and a replica of an unknown kind of card would count as one without memory.
func checkEntry(c *relay.Config, r relay.Replica) *relay.EntryError {
	service := c.Services[r.Service]
	switch {
	case service == nil:
		return &relay.EntryError{Field: "service", Found: strconv.QuoteToASCII(shortID(r.Service)), Want: "one that the configuration names"}
	case service.Model == nil:
		return nil
	}
	if _, known := service.Model.Accelerators[r.Kind]; !known {
		return &relay.EntryError{Field: "kind", Found: strconv.QuoteToASCII(shortID(r.Kind)), Want: "one that the service names"}
	}
	if !service.Model.ValidRange(r.Held) {
		return &relay.EntryError{Field: "layers", Found: r.Held.String(), Want: "layers of the model"}
	}
	return nil
}
