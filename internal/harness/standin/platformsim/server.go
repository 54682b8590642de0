package platformsim

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/platform/httpplatform"
)

const (
	readHeaderTimeout = 5 * time.Second
	// maxHang ends a hanging request if its client never disconnects.
	maxHang      = time.Minute
	maxBodyBytes = 64 << 20
)

// connKey is the context key of a request's connection.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// Server serves a Store over HTTP.
type Server struct {
	*Store
	mux *http.ServeMux

	mu       sync.Mutex // guards the fields below
	address  string
	listener *silenceableListener
}

// NewServer returns a server of the store. It does not listen until Listen.
func NewServer(store *Store) *Server {
	s := &Server{Store: store, mux: http.NewServeMux()}
	s.mux.HandleFunc("POST "+httpplatform.PathCommit, s.commitHTTP)
	s.mux.HandleFunc("POST "+httpplatform.PathGet, s.getHTTP)
	s.mux.HandleFunc("POST "+httpplatform.PathScan, s.scanHTTP)
	s.mux.HandleFunc("PUT "+httpplatform.PathObjects+"{name}", s.putHTTP)
	s.mux.HandleFunc("GET "+httpplatform.PathObjects+"{name}", s.fetchHTTP)
	s.mux.HandleFunc("GET "+httpplatform.PathVMs, s.vmsHTTP)
	s.mux.HandleFunc("POST /faults", s.faultsHTTP)
	return s
}

// Start returns a server of a new store that listens on the address, or on 127.0.0.1:0
// if that is empty.
func Start(address string) (*Server, error) {
	s := NewServer(NewStore())
	if err := s.Listen(address); err != nil {
		return nil, err
	}
	return s, nil
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	s.mux.ServeHTTP(w, r)
}

// Listen starts serving on the address, or on 127.0.0.1:0 if that is empty.
func (s *Server) Listen(address string) error {
	if address == "" {
		address = "127.0.0.1:0"
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listen(address)
}

func (s *Server) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "platform stand-in")
	}
	s.address = listener.Addr().String()
	s.listener = newSilenceableListener(listener)
	server := &http.Server{Handler: s, ReadHeaderTimeout: readHeaderTimeout, ConnContext: withConn}
	silenceable := s.listener
	go func() { _ = server.Serve(silenceable) }() // ends when the listener is closed
	return nil
}

// Address returns the address that the server listens on, as IP:port.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// URL returns the base URL of the server.
func (s *Server) URL() string { return "http://" + s.Address() }

// Close stops the server and closes its connections. The store keeps its state.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.close(nil)
}

// close stops listening and closes all connections except for one, which may be nil.
// The caller must hold the lock.
func (s *Server) close(except *silenceableConn) {
	if s.listener == nil {
		return
	}
	_ = s.listener.Close()
	s.listener.cut(except)
	s.listener = nil
}

// Order applies the faults. OutageRefuse stops the listener until an Order without it.
func (s *Server) Order(order Order) error { return s.order(order, nil) }

// order applies the faults. It spares the connection on which the request to do so
// arrived, if any, so that the sender knows when the faults are in effect.
func (s *Server) order(order Order, except *silenceableConn) error {
	silence := order.SilenceOpen
	order.SilenceOpen = false
	s.Faults.Set(order)
	s.mu.Lock()
	defer s.mu.Unlock()
	if silence && s.listener != nil {
		s.listener.silence(except)
	}
	if order.Outage == OutageRefuse {
		s.close(except)
		return nil
	}
	if s.listener == nil && s.address != "" {
		return s.listen(s.address)
	}
	return nil
}
