package hop

import (
	"context"
	"io"
	"net"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"geraniumcroft/internal/transport"
)

const (
	// maxReplicaTimeout bounds a connection attempt to a replica, which takes about 2 ms. It is shorter
	// than answerTimeout: a peer that tries a dead replica must not seem to be silent itself.
	maxReplicaTimeout = 80 * time.Millisecond
	// chunkBytes is the size of the buffer for bytes of the replica.
	chunkBytes = 4 << 10
)

// ServerOptions are the dependencies of a Server.
type ServerOptions struct {
	// Dial connects to a replica directly.
	Dial transport.DialFunc
	// IsReplica reports whether an address is that of a replica. Connections to others are declined.
	IsReplica func(address string) bool
	// Declines returns why this VM passes no connections on now, "" if it does.
	Declines func() string
	// ReachesReplicas reports whether this VM has reached a replica since a time. If it has not, what it
	// does not reach proves nothing.
	ReachesReplicas func(ctx context.Context, since time.Time) bool
	// MaxConnections bounds the connections that are passed on at a time.
	MaxConnections int
	Observer       Observer
	Logger         *zap.Logger
}

// Observer counts connections by their result. Its methods must not block.
type Observer interface {
	// PassedOn counts a connection that this VM was asked for.
	PassedOn(result string)
	// SentThroughPeer counts a connection that this VM asked a peer for.
	SentThroughPeer(result string)
}

// Server passes connections of peers on to replicas. It is safe for concurrent use.
type Server struct {
	ServerOptions
	active atomic.Int64
}

// NewServer returns a Server. Register makes it available.
func NewServer(o ServerOptions) *Server { return &Server{ServerOptions: o} }

// Register adds the service to a gRPC server, before that serves.
func (s *Server) Register(server grpc.ServiceRegistrar) { server.RegisterService(&serviceDesc, s) }

// Active returns the number of connections that are being passed on.
func (s *Server) Active() int { return int(s.active.Load()) }

// connect serves one stream.
func (s *Server) connect(stream grpc.ServerStream) (err error) {
	defer func() {
		if panicked := recover(); panicked != nil { // only this stream fails
			s.Logger.Error("connection of a peer panicked", zap.Any("panic", panicked), zap.ByteString("stack", debug.Stack()))
			err = status.Error(codes.Internal, "the handler panicked")
		}
	}()
	var req connectRequest
	if err := receiveJSON(stream, &req); err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	started := time.Now()
	defer s.active.Add(-1)
	replica, reply := s.open(stream.Context(), req, int(s.active.Add(1)))
	s.Observer.PassedOn(string(reply.Result))
	log := s.Logger.With(zap.String("requestId", req.RequestID), zap.String("from", req.From), zap.String("address", req.Address))
	if err := sendJSON(stream, reply); err != nil || replica == nil {
		if replica != nil {
			_ = replica.Close() // unused
		}
		log.Info("connection not passed on", zap.String("result", string(reply.Result)), zap.String("reason", reply.Reason), zap.Duration("took", time.Since(started)), zap.Error(err))
		return err
	}
	toReplica, fromReplica, err := passOn(stream, replica)
	log.Info("connection passed on", zap.Int64("bytesToReplica", toReplica), zap.Int64("bytesFromReplica", fromReplica), zap.Duration("took", time.Since(started)), zap.Error(err))
	return err
}

// open connects to the replica of a request. The connection is nil unless the reply says that it is
// connected.
func (s *Server) open(ctx context.Context, req connectRequest, active int) (net.Conn, connectReply) {
	reason := s.Declines()
	switch {
	case reason != "":
	case active > s.MaxConnections:
		reason = "as many connections are passed on as this VM can bear"
	case !s.IsReplica(req.Address):
		reason = "no replica is known at this address"
	}
	if reason != "" {
		return nil, connectReply{Result: resultDeclined, Reason: reason}
	}
	began := time.Now()
	dialCtx, cancel := context.WithTimeout(ctx, min(maxReplicaTimeout, time.Duration(req.TimeoutMS)*time.Millisecond))
	defer cancel()
	conn, err := s.Dial(dialCtx, "tcp", req.Address)
	switch {
	case err == nil:
		return conn, connectReply{Result: resultConnected}
	case !s.ReachesReplicas(ctx, began):
		return nil, connectReply{Result: resultDeclined, Reason: "this VM may be cut off: " + err.Error()}
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, connectReply{Result: resultRefused, Reason: err.Error()}
	}
	return nil, connectReply{Result: resultUnreached, Reason: err.Error()}
}

// passOn copies bytes in both directions until the replica's connection ends, which is nil if it ends
// in order, or the stream does.
func passOn(stream grpc.ServerStream, replica net.Conn) (toReplica, fromReplica int64, err error) {
	closed := context.AfterFunc(stream.Context(), func() { _ = replica.Close() }) // ends the copies
	defer closed()
	sent := make(chan int64, 1)
	go func() { sent <- copyToReplica(stream, replica) }()
	fromReplica, err = copyFromReplica(stream, replica)
	_ = replica.Close() // ends the other copy, unless that waits for the stream
	select {
	case toReplica = <-sent:
	default:
	}
	return toReplica, fromReplica, err
}

// copyToReplica copies until the stream ends or the replica takes no more. A stream that broke closes
// the replica's connection, so that the request ends there.
func copyToReplica(stream grpc.ServerStream, replica net.Conn) (written int64) {
	chunk := &wrapperspb.BytesValue{}
	for {
		if err := stream.RecvMsg(chunk); err != nil {
			if !errors.Is(err, io.EOF) {
				_ = replica.Close()
			}
			return written
		}
		n, err := replica.Write(chunk.GetValue())
		written += int64(n)
		if err != nil {
			return written // the copy from the replica reports how the connection ended
		}
	}
}

// copyFromReplica copies until the replica's connection ends or the caller takes no more.
func copyFromReplica(stream grpc.ServerStream, replica net.Conn) (read int64, err error) {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := replica.Read(buffer)
		if n > 0 {
			read += int64(n)
			if sendErr := stream.SendMsg(wrapperspb.Bytes(buffer[:n])); sendErr != nil {
				return read, sendErr
			}
		}
		if errors.Is(err, io.EOF) {
			return read, nil
		}
		if err != nil {
			return read, status.Error(codes.Aborted, "the replica's connection broke: "+err.Error())
		}
	}
}
