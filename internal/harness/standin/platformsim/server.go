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
	// maxHang ends what an ordered hang holds, should the client never leave.
	maxHang      = time.Minute
	maxBodyBytes = 64 << 20
)

// connKey is where a request's context has its connection.
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

// NewServer returns a server of the store that listens nowhere yet.
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

// Start returns a server of a new store on the address, 127.0.0.1:0 when empty.
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

// Listen starts serving on the address, 127.0.0.1:0 when empty.
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

// Address returns the IP:port.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// URL returns the base URL.
func (s *Server) URL() string { return "http://" + s.Address() }

// Close stops the server and cuts its connections; the store stays.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.close(nil)
}

// close stops listening and cuts all connections but one, which may be nil.
func (s *Server) close(but *silenceableConn) {
	if s.listener == nil {
		return
	}
	_ = s.listener.Close()
	s.listener.cut(but)
	s.listener = nil
}

// Order puts the faults in force. An outage that refuses connections stops the
// listener until an Order without it.
func (s *Server) Order(order Order) error { return s.order(order, nil) }

// order spares the connection that the order came on, if any, so that its sender
// knows when the faults are in force.
func (s *Server) order(order Order, but *silenceableConn) error {
	silence := order.SilenceOpen
	order.SilenceOpen = false
	s.Faults.Set(order)
	s.mu.Lock()
	defer s.mu.Unlock()
	if silence && s.listener != nil {
		s.listener.silence(but)
	}
	if order.Outage == OutageRefuse {
		s.close(but)
		return nil
	}
	if s.listener == nil && s.address != "" {
		return s.listen(s.address)
	}
	return nil
}
