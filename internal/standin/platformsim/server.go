package platformsim

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/platform"
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

func (s *Server) faultsHTTP(w http.ResponseWriter, r *http.Request) {
	var order Order
	if !decode(w, r, &order) {
		return
	}
	conn, _ := r.Context().Value(connKey{}).(*silenceableConn)
	if err := s.order(order, conn); err != nil {
		answer(w, http.StatusInternalServerError, httpplatform.Problem{Code: "listen", Detail: err.Error()})
		return
	}
	if order.Outage != OutageNone {
		w.Header().Set("Connection", "close")
	}
	answer(w, http.StatusOK, s.Faults.Current())
}

func (s *Server) commitHTTP(w http.ResponseWriter, r *http.Request) {
	var txn platform.Txn
	if !decode(w, r, &txn) {
		return
	}
	action := s.Faults.next(OpCommit)
	switch action.Kind {
	case ActUnavailable:
		outage(w)
	case ActHang:
		hang(r)
	case ActLoseAnswer:
		_ = s.apply(txn) // whatever it says, the answer is lost
		panic(http.ErrAbortHandler)
	case ActDelay:
		time.AfterFunc(action.Wait, func() { _ = s.apply(txn) })
		hang(r)
	default:
		err := s.apply(txn)
		wait(r.Context(), action.Wait)
		answerCommit(w, err)
	}
}

func answerCommit(w http.ResponseWriter, err error) {
	var refused *platform.RefusedError
	if errors.As(err, &refused) {
		answer(w, http.StatusConflict, httpplatform.RowsResponse{Rows: refused.Rows})
		return
	}
	answer(w, http.StatusOK, struct{}{})
}

func (s *Server) getHTTP(w http.ResponseWriter, r *http.Request) {
	var request httpplatform.GetRequest
	if decode(w, r, &request) && s.admitRead(w, r, OpRead) {
		answer(w, http.StatusOK, httpplatform.RowsResponse{Rows: s.get(request.Keys)})
	}
}

func (s *Server) scanHTTP(w http.ResponseWriter, r *http.Request) {
	var request httpplatform.ScanRequest
	if decode(w, r, &request) && s.admitRead(w, r, OpRead) {
		rows := s.scan(request.From, request.To, request.Limit)
		answer(w, http.StatusOK, httpplatform.RowsResponse{Rows: rows})
	}
}

func (s *Server) putHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		badRequest(w, err)
		return
	}
	if s.admitRead(w, r, OpObject) {
		s.putObject(r.PathValue("name"), body)
		answer(w, http.StatusOK, struct{}{})
	}
}

func (s *Server) fetchHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.admitRead(w, r, OpObject) {
		return
	}
	body, ok := s.object(r.PathValue("name"))
	if !ok {
		answer(w, http.StatusNotFound, httpplatform.Problem{Code: "not-found"})
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(body) // the client's loss shows on its side
}

func (s *Server) vmsHTTP(w http.ResponseWriter, r *http.Request) {
	if s.admitRead(w, r, OpVMs) {
		answer(w, http.StatusOK, httpplatform.VMsResponse{VMs: s.listVMs()})
	}
}

// admitRead brings about the fault ordered for a read; it reports whether to answer.
func (s *Server) admitRead(w http.ResponseWriter, r *http.Request, op Operation) bool {
	action := s.Faults.next(op)
	switch action.Kind {
	case ActUnavailable, ActLoseAnswer:
		outage(w)
		return false
	case ActHang, ActDelay:
		hang(r)
		return false
	default:
		return wait(r.Context(), action.Wait)
	}
}

func hang(r *http.Request) {
	timer := time.NewTimer(maxHang)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

func outage(w http.ResponseWriter) {
	problem := httpplatform.Problem{Code: httpplatform.CodeNotApplied, Detail: "ordered outage"}
	answer(w, http.StatusServiceUnavailable, problem)
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		badRequest(w, err)
		return false
	}
	return true
}

func badRequest(w http.ResponseWriter, err error) {
	problem := httpplatform.Problem{Code: httpplatform.CodeNotApplied, Detail: err.Error()}
	answer(w, http.StatusBadRequest, problem)
}

func answer(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(status)
	_, _ = w.Write(encoded) // the client's loss shows on its side
}
