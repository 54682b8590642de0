package servicesim

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/standin/faultnet"
)

const (
	maxExecutions = 1 << 17
	maxReports    = 4096
)

// Service is a stand-in plain service. It is safe for concurrent use.
type Service struct {
	options Options
	slots   chan struct{}

	mu         sync.Mutex // guards the fields below
	address    string
	listener   *faultnet.Listener
	server     *http.Server
	life       context.CancelFunc
	dead       bool
	faults     Faults
	executions []Execution
	total      uint64
	received   uint64
	active     int
	queued     int
	changed    chan struct{} // closed when active or queued changes; nil when nobody waits
	reports    []engine.LoadReport
}

// New returns a service that is not yet reachable.
func New(o Options) *Service {
	o = o.withDefaults()
	return &Service{
		options: o,
		slots:   make(chan struct{}, o.Slots),
		faults:  Faults{LoadLag: config.Duration(o.LoadLag)},
	}
}

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

// SetFaults changes the faults.
func (s *Service) SetFaults(change func(*Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
	s.note()
}

// Addr returns the address that the service listens on, IP:port.
func (s *Service) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Target returns a configuration entry that describes the service.
func (s *Service) Target() *config.Target {
	return &config.Target{
		Name:    s.options.Name,
		Address: s.Addr(),
		Kind:    config.KindService,
		State:   config.StateActive,
		Service: s.options.Service,
		Slots:   s.options.Slots,
	}
}

// Executions returns the recorded executions, oldest first, within a bound.
func (s *Service) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution(nil), s.executions...)
}

// ExecutedTotal returns how many calls were executed.
func (s *Service) ExecutedTotal() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// Received returns how many calls were read whole.
func (s *Service) Received() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received
}

// AwaitIdle waits until no call is in hand.
func (s *Service) AwaitIdle(ctx context.Context) error {
	for {
		s.mu.Lock()
		if s.active+s.queued == 0 {
			s.mu.Unlock()
			return nil
		}
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Load returns the load report, late by the ordered lag.
func (s *Service) Load() engine.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	lag := time.Duration(s.faults.LoadLag)
	if lag == 0 {
		return s.report()
	}
	then := time.Now().Add(-lag)
	for i := len(s.reports) - 1; i >= 0; i-- {
		if !s.reports[i].At.After(then) {
			return s.reports[i]
		}
	}
	return engine.LoadReport{At: then, Slots: s.options.Slots}
}

// report is the present load; the caller holds the lock.
func (s *Service) report() engine.LoadReport {
	return engine.LoadReport{At: time.Now(), Active: s.active, Queued: s.queued, Slots: s.options.Slots, Leaving: s.faults.Leaving}
}

// note remembers the present load; the caller holds the lock.
func (s *Service) note() {
	if len(s.reports) == maxReports {
		s.reports = s.reports[maxReports/2:]
	}
	s.reports = append(s.reports, s.report())
}
