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

// baselineServer is the router to compare with, in front of a scene's targets.
type baselineServer struct {
	server   *http.Server
	pool     *transport.Pool
	services *httpservice.Client
	caller   callclient.Client
}

func (s *scene) startBaseline() (*baselineServer, error) {
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
