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

// ChangeSource returns what a copy of the table at after lacks compared with this VM's copy, and the time since this VM's copy was confirmed to be current. ok is false if this VM has
// no copy.
type ChangeSource func(table string, after platform.Cursor) (change platform.TableChange, age time.Duration, ok bool)

// OfferHandler receives a peer's offer of a table, with the time since the peer's copy was
// confirmed to be current, and whether the offer is to be forwarded. It has to ignore an offer that
// is older than this VM's copy, and must not wait for other VMs.
type OfferHandler func(table string, change platform.TableChange, age time.Duration, forward bool)

// Server serves this VM's copies to peers and receives their offers.
type Server struct {
	changesSince ChangeSource
	onOffer      OfferHandler
	packed       *packCache
	logger       *zap.Logger
	grpc         *grpc.Server
	// News returns the revision of the state that this VM shares outside of the tables, such as the
	// quarantine. Its answers carry the revision; nil stands for revision 0. News must be set
	// before Serve is called.
	News func() uint64
	// CutOff reports whether this VM reaches no replica, which its answers then say. It may be nil, and
	// must be set before Serve is called.
	CutOff func() bool
}

// NewServer returns a Server. It answers once Serve is called.
func NewServer(since ChangeSource, take OfferHandler, logger *zap.Logger) *Server {
	s := &Server{changesSince: since, onOffer: take, packed: newPackCache(), logger: logger, grpc: grpc.NewServer()}
	s.grpc.RegisterService(&serviceDesc, s)
	return s
}

// Register adds another service for peers. It must be called before Serve.
func (s *Server) Register(add func(grpc.ServiceRegistrar)) { add(s.grpc) }

// Serve answers peers on lis until Stop is called.
func (s *Server) Serve(lis net.Listener) error { return s.grpc.Serve(lis) }

// Stop closes all connections and ends Serve.
func (s *Server) Stop() { s.grpc.Stop() }

func (s *Server) logPanic(value any, stack []byte) {
	s.logger.Error("answer to a peer panicked", zap.Any("panic", value), zap.ByteString("stack", stack))
}

func (s *Server) fetch(_ context.Context, request *wrapperspb.BytesValue) (*wrapperspb.BytesValue, error) {
	var req fetchRequest
	if err := json.Unmarshal(request.GetValue(), &req); err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	answer, err := s.respond(req)
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(answer)
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	return wrapperspb.Bytes(body), nil
}

func (s *Server) respond(req fetchRequest) (*fetchResponse, error) {
	change, age, ok := s.changesSince(req.Table, req.cursor())
	if !ok {
		return nil, status.Error(codes.NotFound, "this VM has no copy of the table")
	}
	a := &fetchResponse{Cursor: platform.Cursor{Version: change.Version, Content: change.Content}, copyStatus: copyStatus{
		UnchangedUpTo: change.UnchangedUpTo, AgeMS: age.Milliseconds(),
		Settling: change.Settling, SettlingLeftMS: millisecondsUp(change.SettlingLeft), SteadyMS: change.SteadyFor.Milliseconds(), ByFeed: change.ByFeed, ByRelay: change.ByRelay,
	}}
	if s.News != nil {
		a.News = s.News()
	}
	a.CutOff = s.CutOff != nil && s.CutOff()
	if req.Brief || change.Empty() {
		return a, nil
	}
	packed, err := s.packed.get(req.Table, req.cursor().Version, change)
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	a.Change = packed
	return a, nil
}

// millisecondsUp returns a duration in milliseconds, rounded up: 0 stands for a time that is not reported.
func millisecondsUp(d time.Duration) int64 { return (d + time.Millisecond - 1).Milliseconds() }

func (s *Server) offer(_ context.Context, request *wrapperspb.BytesValue) (*wrapperspb.BytesValue, error) {
	var o offerRequest
	if err := json.Unmarshal(request.GetValue(), &o); err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	change, err := unpack(o.Change)
	if err != nil {
		s.logger.Warn("peer's offer not decoded", zap.String("table", o.Table), zap.Error(err))
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	s.onOffer(o.Table, change, time.Duration(o.AgeMS)*time.Millisecond, o.Forward)
	return &wrapperspb.BytesValue{}, nil
}
