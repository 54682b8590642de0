package entry

import (
	"strconv"

	"geraniumcroft/internal/relay"
)

// fits reports whether an entry names a replica that the configuration has a use for, with
// what is wrong if not. Entries may come from another writer: a range beyond the model's
// layers ended the process that placed them, and one on a card that nobody knows would have
// no memory.
func fits(c *relay.Config, r relay.Replica) *relay.EntryError {
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
