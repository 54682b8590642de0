package experiment

import (
	"net"
	"sync"

	"geraniumcroft/internal/engine/httpengine"
	"geraniumcroft/internal/harness/standin/faultnet"
	"geraniumcroft/internal/node"
	"geraniumcroft/internal/platform/httpplatform"
	"geraniumcroft/internal/service/httpservice"
	"geraniumcroft/internal/transport"
)

// muffler makes the open connections to one VM silent; new ones work.
type muffler struct {
	vm int

	mu        sync.Mutex // guards the field below
	listeners []*faultnet.Listener
}

// adjust wires the last VM of a fleet of today's size.
func (m *muffler) adjust(o *node.Options) {
	if m.vm++; m.vm == fleetToday {
		o.Wiring = m.wiring(o)
	}
}

func (m *muffler) wiring(o *node.Options) *node.Wiring {
	pool := transport.NewPool(transport.Settings{}, nil)
	store := httpplatform.New(httpplatform.Settings{BaseURL: o.Settings.Platform.Table, AttemptTimeout: o.Settings.Platform.Timeout})
	return &node.Wiring{
		Listen:  m.listen,
		Engines: httpengine.New(pool, httpengine.Settings{}), Services: httpservice.New(pool, httpservice.Settings{}),
		Table: store, Objects: store, VMList: store, Close: pool.Close,
	}
}

func (m *muffler) listen(address string) (net.Listener, error) {
	listener, err := faultnet.Listen(address)
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listeners = append(m.listeners, listener)
	return listener, nil
}

func (m *muffler) silence() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, listener := range m.listeners {
		listener.SilenceAll(nil)
	}
}
