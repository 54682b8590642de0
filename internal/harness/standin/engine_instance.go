package standin

import "geraniumcroft/internal/harness/standin/enginesim"

type enginePlace struct {
	address, dataCentre, accelerator string
	engine                           *enginesim.Engine
}
