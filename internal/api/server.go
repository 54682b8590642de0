package api

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"

	"go.uber.org/zap"

	"geraniumcroft/internal/listener"
)

// headLimitFactor is how far the server's own bound on a head lies above the one
// that is answered with a problem body.
const headLimitFactor = 4

// Server is the callers' listener.
type Server struct {
	address string
	options Options
	http    *http.Server
}

// NewServer returns a server for the callers' API that is not yet listening.
func NewServer(address string, r Router, o Options) *Server {
	o = o.withDefaults()
	return &Server{
		address: address,
		options: o,
		http: &http.Server{
			Handler:           NewHandler(r, o),
			ReadHeaderTimeout: o.ReadTimeout,
			IdleTimeout:       o.IdleTimeout,
			MaxHeaderBytes:    headLimitFactor * o.MaxHeaderBytes,
			TLSConfig:         o.TLS,
			Protocols:         onlyHTTP1(),
			ConnContext:       listener.ConnContext,
			ErrorLog:          errorLog(o.Logger),
		},
	}
}

// onlyHTTP1 keeps each request on a connection of its own while it is in hand: on
// one shared connection a caller's urgent answer would wait behind its slow ones.
func onlyHTTP1() *http.Protocols {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	return protocols
}

// errorLog takes what net/http has to say of single connections.
func errorLog(logger *zap.Logger) *log.Logger {
	standard, err := zap.NewStdLogAt(logger.Named("callers"), zap.DebugLevel)
	if err != nil {
		panic(err) // the level is a constant that the library knows
	}
	return standard
}

// Start listens and serves in the background. It returns the address in use.
func (s *Server) Start() (net.Addr, error) {
	accepting, err := s.listen()
	if err != nil {
		return nil, err
	}
	go s.serve(accepting)
	return accepting.Addr(), nil
}

func (s *Server) listen() (net.Listener, error) {
	if s.options.Listen != nil {
		return s.options.Listen(s.address)
	}
	return listener.Listen(s.address, s.options.MaxConnections)
}

func (s *Server) serve(accepting net.Listener) {
	var err error
	if s.options.TLS != nil {
		err = s.http.ServeTLS(accepting, "", "")
	} else {
		err = s.http.Serve(accepting)
	}
	if !errors.Is(err, http.ErrServerClosed) {
		s.options.Logger.Error("the callers' listener ended: " + err.Error())
	}
}

// Shutdown stops listening and waits until the requests in hand have their
// answers, or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Close breaks off what is in hand.
func (s *Server) Close() error { return s.http.Close() }
