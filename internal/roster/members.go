package roster

import (
	"geraniumcroft/internal/confstore"
	"geraniumcroft/internal/membership"
)

// Members is what the roster asks of membership.
type Members interface {
	confstore.Confirmer
	Members() []membership.Member
}
