package standin

import "geraniumcroft/internal/harness/standin/servicesim"

type servicePlace struct {
	address, dataCentre string
	service             *servicesim.Service
}
