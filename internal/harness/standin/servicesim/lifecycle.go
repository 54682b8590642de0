package servicesim

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"

	"geraniumcroft/internal/harness/standin/faultnet"
)

// Start listens on address, IP:port, and serves; port 0 takes a free one.
func (s *Service) Start(address string) error {
	listener, err := faultnet.Listen(address)
	if err != nil {
		return err
	}
	life, end := context.WithCancel(context.Background())
	server := &http.Server{
		Handler:     s,
		ErrorLog:    log.New(io.Discard, "", 0),
		BaseContext: func(net.Listener) context.Context { return life },
		ConnContext: faultnet.ConnContext,
	}
	s.mu.Lock()
	s.listener, s.server, s.life = listener, server, end
	s.address = listener.Addr().String()
	s.dead = false
	s.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return nil
}

// Close ends the service.
func (s *Service) Close() { s.Die() }

// Die makes the service fail as a process does: calls in hand are not executed
// and connections are reset. What was executed stays recorded.
func (s *Service) Die() {
	s.mu.Lock()
	if s.dead || s.listener == nil {
		s.mu.Unlock()
		return
	}
	s.dead = true
	listener, server, end := s.listener, s.server, s.life
	s.mu.Unlock()
	end()
	_ = listener.Close()
	listener.ResetAll()
	_ = server.Close()
}

// Revive starts a dead service again at its address.
func (s *Service) Revive() error { return s.Start(s.Addr()) }

// GoSilent makes the connections that are open now silent for good; new ones work.
func (s *Service) GoSilent() { s.goSilent(nil) }

func (s *Service) goSilent(except *faultnet.Conn) {
	s.mu.Lock()
	listener := s.listener
	s.mu.Unlock()
	if listener != nil {
		listener.SilenceAll(except)
	}
}
