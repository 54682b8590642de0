package experiment

import (
	"net"
	"net/http"

	"geraniumcroft/internal/engine/httpengine"
	"geraniumcroft/internal/harness/baseline"
	"geraniumcroft/internal/harness/callclient"
	"geraniumcroft/internal/service/httpservice"
	"geraniumcroft/internal/transport"
)

// baselineServer is a baseline router that uses the targets of a system.
type baselineServer struct {
	server   *http.Server
	pool     *transport.Pool
	services *httpservice.Client
	caller   callclient.Client
}

// startBaseline starts a baseline router with the configuration of the system.
func (s *system) startBaseline() (*baselineServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	pool := transport.NewPool(transport.Settings{}, nil)
	b := &baselineServer{pool: pool, services: httpservice.New(pool, httpservice.Settings{})}
	b.caller = callclient.Client{Address: listener.Addr().String(), HTTP: s.http}
	b.server = &http.Server{Handler: baseline.New(baseline.Options{
		Source: s.Nodes[0].Store(), Engines: httpengine.New(pool, httpengine.Settings{}), Services: b.services,
	})}
	go func() { _ = b.server.Serve(listener) }()
	return b, nil
}

func (b *baselineServer) close() {
	_ = b.server.Close()
	b.services.Close()
	b.pool.Close()
}
