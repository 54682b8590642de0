package standin

import "geraniumcroft/internal/harness/standin/enginesim"

// engineInstance is an engine stand-in with the address that it listens on and the
// placement that its target entity reports.
type engineInstance struct {
	address, dataCentre, accelerator string
	engine                           *enginesim.Engine
}
