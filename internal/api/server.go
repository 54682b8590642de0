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

// serverHeadLimitFactor is the ratio of http.Server's limit on the request head to
// MaxHeaderBytes. A head between the two is answered with a problem body.
const serverHeadLimitFactor = 4

// Server serves the callers' API on its own listener.
type Server struct {
	address string
	options Options
	http    *http.Server
}

// NewServer returns a Server that is not yet listening.
func NewServer(address string, r Router, o Options) *Server {
	o = o.withDefaults()
	return &Server{
		address: address,
		options: o,
		http: &http.Server{
			Handler:           NewHandler(r, o),
			ReadHeaderTimeout: o.ReadTimeout,
			IdleTimeout:       o.IdleTimeout,
			MaxHeaderBytes:    serverHeadLimitFactor * o.MaxHeaderBytes,
			TLSConfig:         o.TLS,
			Protocols:         onlyHTTP1(),
			ConnContext:       listener.ConnContext,
			ErrorLog:          connectionErrorLog(o.Logger),
		},
	}
}

// onlyHTTP1 disables HTTP/2, so that concurrent requests use separate connections.
// On a shared connection a caller's urgent response would wait behind its slow ones.
func onlyHTTP1() *http.Protocols {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	return protocols
}

// connectionErrorLog returns the logger for net/http's errors about single
// connections.
func connectionErrorLog(logger *zap.Logger) *log.Logger {
	stdLogger, err := zap.NewStdLogAt(logger.Named("callers"), zap.DebugLevel)
	if err != nil {
		panic(err) // the level is a constant that the library knows
	}
	return stdLogger
}

// Start listens and serves in the background. It returns the address that it
// listens on.
func (s *Server) Start() (net.Addr, error) {
	ln, err := s.listen()
	if err != nil {
		return nil, err
	}
	go s.serve(ln)
	return ln.Addr(), nil
}

func (s *Server) listen() (net.Listener, error) {
	if s.options.Listen != nil {
		return s.options.Listen(s.address)
	}
	return listener.Listen(s.address, s.options.MaxConnections)
}

func (s *Server) serve(ln net.Listener) {
	var err error
	if s.options.TLS != nil {
		err = s.http.ServeTLS(ln, "", "")
	} else {
		err = s.http.Serve(ln)
	}
	if !errors.Is(err, http.ErrServerClosed) {
		s.options.Logger.Error("the callers' listener ended: " + err.Error())
	}
}

// Shutdown stops listening and waits until all requests in progress are answered or
// ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Close stops listening and closes all connections without waiting for requests in
// progress.
func (s *Server) Close() error { return s.http.Close() }
