package standin

import "geraniumcroft/internal/harness/standin/servicesim"

// serviceInstance is a service stand-in with the address that it listens on and the
// data centre that its target entity reports.
type serviceInstance struct {
	address, dataCentre string
	service             *servicesim.Service
}
