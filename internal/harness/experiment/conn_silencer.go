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

// connSilencer makes the open connections to one VM silent: they stay open but transmit
// nothing. New connections work.
type connSilencer struct {
	vm int // number of VMs that have been created

	mu        sync.Mutex // guards the field below
	listeners []*faultnet.Listener
}

// adjust is called with the options of each VM. It sets the wiring of the last VM of a
// fleet of deploymentVMs.
func (m *connSilencer) adjust(o *node.Options) {
	if m.vm++; m.vm == deploymentVMs {
		o.Wiring = m.wiring(o)
	}
}

// wiring returns a wiring whose listeners are kept in m.
func (m *connSilencer) wiring(o *node.Options) *node.Wiring {
	pool := transport.NewPool(transport.Settings{}, nil)
	store := httpplatform.New(httpplatform.Settings{BaseURL: o.Settings.Platform.Table, AttemptTimeout: o.Settings.Platform.Timeout})
	return &node.Wiring{
		Listen:  m.listen,
		Engines: httpengine.New(pool, httpengine.Settings{}), Services: httpservice.New(pool, httpservice.Settings{}),
		Table: store, Objects: store, VMList: store, Close: pool.Close,
	}
}

func (m *connSilencer) listen(address string) (net.Listener, error) {
	listener, err := faultnet.Listen(address)
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listeners = append(m.listeners, listener)
	return listener, nil
}

// silence makes all open connections silent.
func (m *connSilencer) silence() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, listener := range m.listeners {
		listener.SilenceAll(nil)
	}
}
