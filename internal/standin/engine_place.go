package standin

import "geraniumcroft/internal/standin/enginesim"

type enginePlace struct {
	address, dataCentre, accelerator string
	engine                           *enginesim.Engine
}
