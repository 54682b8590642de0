package allocator

import (
	"context"
	"runtime/debug"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"geraniumcroft/internal/layers"
)

// Reserver chooses paths and accounts for them.
type Reserver interface {
	// Reserve waits for a path until the request's MaxWait. Its error is a *RefusedError.
	Reserve(ctx context.Context, r Request) (*layers.Reservation, error)
	// Adopt accounts for a path that a VM has in use. The error is layers.ErrNoPath if a replica of it is
	// not known.
	Adopt(h Hold) (*layers.Reservation, error)
	// RecordRejection makes later paths avoid a replica for a while.
	RecordRejection(r Rejection)
}

// Server allocates paths to the VMs of its data centre. It is safe for concurrent use.
type Server struct {
	reserver Reserver
	// declines reports whether this VM allocates no paths now.
	declines func() bool
	logger   *zap.Logger
	stopped  chan struct{}
	stop     sync.Once
	sessions atomic.Int64
	held     atomic.Int64
}

// NewServer returns a Server. Register makes it available.
func NewServer(reserver Reserver, declines func() bool, logger *zap.Logger) *Server {
	return &Server{reserver: reserver, declines: declines, logger: logger, stopped: make(chan struct{})}
}

// Register adds the service to a gRPC server, before that serves.
func (s *Server) Register(server grpc.ServiceRegistrar) { server.RegisterService(&serviceDesc, s) }

// Stop ends all sessions.
func (s *Server) Stop() { s.stop.Do(func() { close(s.stopped) }) }

// Dump is the state of a Server in the log line of a VM's state.
type Dump struct {
	// Sessions is the number of VMs that this one allocates paths to, Held that of their paths and waiting
	// requests.
	Sessions int64 `json:"sessions"`
	Held     int64 `json:"held"`
}

// Dump returns the server's state.
func (s *Server) Dump() Dump { return Dump{Sessions: s.sessions.Load(), Held: s.held.Load()} }

// session serves one VM until its stream ends.
func (s *Server) session(stream grpc.ServerStream) error {
	if s.declines() {
		return status.Error(codes.Unavailable, "this VM allocates no paths now")
	}
	s.sessions.Add(1)
	defer s.sessions.Add(-1)
	session := newSession(s, stream)
	defer session.end()
	ended := make(chan error, 1)
	go func() { ended <- s.runSession(session) }()
	select {
	case err := <-ended:
		return err
	case <-s.stopped:
		return status.Error(codes.Unavailable, "this VM stops")
	}
}

// runSession runs a session. A panic ends this session alone.
func (s *Server) runSession(session *session) (err error) {
	defer func() {
		if panicked := recover(); panicked != nil {
			s.logger.Error("session of an allocator panicked", zap.Any("panic", panicked), zap.ByteString("stack", debug.Stack()))
			err = status.Error(codes.Internal, "the handler panicked")
		}
	}()
	return session.run()
}
