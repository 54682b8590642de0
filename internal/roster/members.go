package roster

import (
	"geraniumcroft/internal/confstore"
	"geraniumcroft/internal/membership"
)

// Members is the view of membership that a Roster needs.
type Members interface {
	confstore.Confirmer
	Members() []membership.Member
}
