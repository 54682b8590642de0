package node

import (
	"net"

	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/engine/httpengine"
	"geraniumcroft/internal/peer"
	"geraniumcroft/internal/platform"
	"geraniumcroft/internal/platform/httpplatform"
	"geraniumcroft/internal/service"
	"geraniumcroft/internal/service/httpservice"
	"geraniumcroft/internal/transport"
)

// Wiring provides everything that a node reaches outside its process. Tests replace it to run whole
// nodes in one process and in virtual time.
type Wiring struct {
	// Listen opens the listeners for callers, peers and operators; nil uses TCP.
	Listen func(address string) (net.Listener, error)
	// DialPeer opens connections to peers; nil uses TCP.
	DialPeer peer.Dial
	Engines  engine.Client
	Services service.Client
	Table    platform.Table
	Objects  platform.Objects
	VMList   platform.VMList
	// Close closes idle connections when the node ends; it may be nil.
	Close func()
}

// wire sets the wiring to that of the options, or to TCP and HTTP.
func (n *Node) wire() {
	if n.options.Wiring != nil {
		n.wiring = *n.options.Wiring
	} else {
		n.wiring = n.networkWiring()
	}
	if n.wiring.Listen == nil {
		n.wiring.Listen = listenTCP
	}
	if n.wiring.Close == nil {
		n.wiring.Close = func() {}
	}
}

func (n *Node) networkWiring() Wiring {
	p, t := n.settings.Platform, n.settings.Targets
	service := func(url string) *httpplatform.Client {
		return httpplatform.New(httpplatform.Settings{BaseURL: url, AttemptTimeout: p.Timeout, TLS: n.options.PlatformTLS})
	}
	base := transport.Settings{ConnectTimeout: t.ConnectTimeout}
	pool := transport.NewPool(base, transport.NewDialer(base.WithDefaults()))
	return Wiring{
		Engines:  httpengine.New(pool, httpengine.Settings{SilenceTimeout: t.SilenceTimeout}),
		Services: httpservice.New(pool, httpservice.Settings{}),
		Table:    service(p.Table), Objects: service(p.Objects), VMList: service(p.VMList),
		Close: pool.Close,
	}
}

func listenTCP(address string) (net.Listener, error) { return net.Listen("tcp", address) }
