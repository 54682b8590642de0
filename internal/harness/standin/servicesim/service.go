package servicesim

import (
	"context"
	"net/http"
	"sync"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/harness/standin/faultnet"
)

const (
	maxExecutions = 1 << 17
	maxReports    = 4096
)

// Service is a simulated plain service. It is safe for concurrent use.
type Service struct {
	options Options
	slots   chan struct{}

	mu         sync.Mutex // guards the fields below
	address    string
	listener   *faultnet.Listener
	server     *http.Server
	cancel     context.CancelFunc
	dead       bool
	faults     Faults
	executions []Execution
	total      uint64
	received   uint64
	active     int
	queued     int
	changed    chan struct{} // closed when active or queued changes; nil without waiters
	reports    []engine.LoadReport
}

// New returns a service that is not reachable until Start.
func New(o Options) *Service {
	o = o.withDefaults()
	return &Service{
		options: o,
		slots:   make(chan struct{}, o.Slots),
		faults:  Faults{LoadLag: config.Duration(o.LoadLag)},
	}
}

// SetFaults calls change on the current faults, with the service's lock held.
func (s *Service) SetFaults(change func(*Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
	s.recordLoad()
}

// Addr returns the address that the service listens on, as IP:port.
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

// Executions returns the recorded executions, oldest first. Only the last
// maxExecutions are kept.
func (s *Service) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution(nil), s.executions...)
}

// ExecutedTotal returns the number of calls executed.
func (s *Service) ExecutedTotal() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// Received returns the number of calls whose body was read completely.
func (s *Service) Received() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received
}

// AwaitIdle waits until no call is active or queued.
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
