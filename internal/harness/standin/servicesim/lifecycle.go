package servicesim

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"

	"geraniumcroft/internal/harness/standin/faultnet"
)

// Start listens on address, as IP:port, and serves. Port 0 takes a free port.
func (s *Service) Start(address string) error {
	listener, err := faultnet.Listen(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	server := &http.Server{
		Handler:     s,
		ErrorLog:    log.New(io.Discard, "", 0),
		BaseContext: func(net.Listener) context.Context { return ctx },
		ConnContext: faultnet.ConnContext,
	}
	s.mu.Lock()
	s.listener, s.server, s.cancel = listener, server, cancel
	s.address = listener.Addr().String()
	s.dead = false
	s.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return nil
}

// Close stops the service, as Die does.
func (s *Service) Close() { s.Die() }

// Die makes the service fail like a crashed process: calls in progress are not
// executed and connections are reset. Executions stay recorded.
func (s *Service) Die() {
	s.mu.Lock()
	if s.dead || s.listener == nil {
		s.mu.Unlock()
		return
	}
	s.dead = true
	listener, server, cancel := s.listener, s.server, s.cancel
	s.mu.Unlock()
	cancel()
	_ = listener.Close()
	listener.ResetAll()
	_ = server.Close()
}

// Revive restarts a dead service at its previous address.
func (s *Service) Revive() error { return s.Start(s.Addr()) }

// GoSilent permanently silences the connections that are open now; new ones work.
func (s *Service) GoSilent() { s.goSilent(nil) }

func (s *Service) goSilent(except *faultnet.Conn) {
	s.mu.Lock()
	listener := s.listener
	s.mu.Unlock()
	if listener != nil {
		listener.SilenceAll(except)
	}
}
