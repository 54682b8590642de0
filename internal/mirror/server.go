package mirror

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"geraniumcroft/internal/platform"
)

// ChangeSource returns what a copy of a table at a revision lacks of this VM's, with the time
// since this VM's was confirmed to be the newest. Ok is false if this VM has none.
type ChangeSource func(table string, after uint64) (change platform.TableChange, age time.Duration, ok bool)

// OfferHandler is given what a peer offers of a table, with the time since the peer's copy was
// confirmed to be the newest. What is older than this VM's copy is to be passed over.
type OfferHandler func(table string, change platform.TableChange, age time.Duration)

// Server gives this VM's copies to peers and takes what they offer.
type Server struct {
	since  ChangeSource
	take   OfferHandler
	packed *packedChanges
	logger *zap.Logger
	grpc   *grpc.Server
	// News returns the revision of what this VM tells beside tables, which its answers carry; nil
	// stands for 0. It is set before Serve.
	News func() uint64
}

// NewServer returns a server; Serve makes it answer.
func NewServer(since ChangeSource, take OfferHandler, logger *zap.Logger) *Server {
	s := &Server{since: since, take: take, packed: newPackedChanges(), logger: logger, grpc: grpc.NewServer()}
	s.grpc.RegisterService(&serviceDesc, s)
	return s
}

// Serve answers peers until Stop.
func (s *Server) Serve(lis net.Listener) error { return s.grpc.Serve(lis) }

// Stop ends all connections.
func (s *Server) Stop() { s.grpc.Stop() }

func (s *Server) panicked(value any, stack []byte) {
	s.logger.Error("answer to a peer panicked", zap.Any("panic", value), zap.ByteString("stack", stack))
}

func (s *Server) fetch(_ context.Context, request *wrapperspb.BytesValue) (*wrapperspb.BytesValue, error) {
	var q question
	if err := json.Unmarshal(request.GetValue(), &q); err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	answer, err := s.answer(q)
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(answer)
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	return wrapperspb.Bytes(body), nil
}

func (s *Server) answer(q question) (*answer, error) {
	change, age, ok := s.since(q.Table, q.After)
	if !ok {
		return nil, status.Error(codes.NotFound, "this VM has no copy of the table")
	}
	a := &answer{Revision: change.Revision, standing: standing{
		UnchangedUpTo: change.UnchangedUpTo, AgeMS: age.Milliseconds(),
		Settling: change.Settling, SettlingLeftMS: change.SettlingLeft.Milliseconds(), ByFeed: change.ByFeed,
	}}
	if s.News != nil {
		a.News = s.News()
	}
	if q.Brief || change.Empty() {
		return a, nil
	}
	packed, err := s.packed.of(q.Table, q.After, change)
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	a.Change = packed
	return a, nil
}

func (s *Server) offer(_ context.Context, request *wrapperspb.BytesValue) (*wrapperspb.BytesValue, error) {
	var o offered
	if err := json.Unmarshal(request.GetValue(), &o); err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	change, err := unpack(o.Change)
	if err != nil {
		s.logger.Warn("peer's offer not read", zap.String("table", o.Table), zap.Error(err))
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	s.take(o.Table, change, time.Duration(o.AgeMS)*time.Millisecond)
	return &wrapperspb.BytesValue{}, nil
}
