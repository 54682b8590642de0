package standin

import "geraniumcroft/internal/standin/servicesim"

type servicePlace struct {
	address, dataCentre string
	service             *servicesim.Service
}
