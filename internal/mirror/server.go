package mirror

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"geraniumcroft/internal/platform"
)

// Views returns this VM's copy of a table, nil if it has none, and the time since it
// was confirmed to be the newest.
type Views func(table string) (*platform.TableView, time.Duration)

// Server gives this VM's copies to peers.
type Server struct {
	views Views
	grpc  *grpc.Server
}

// NewServer returns a server; Serve makes it answer.
func NewServer(views Views) *Server {
	s := &Server{views: views, grpc: grpc.NewServer()}
	s.grpc.RegisterService(&serviceDesc, s)
	return s
}

// Serve answers peers until Stop.
func (s *Server) Serve(lis net.Listener) error { return s.grpc.Serve(lis) }

// Stop ends all connections.
func (s *Server) Stop() { s.grpc.Stop() }

func (s *Server) fetch(_ context.Context, request *wrapperspb.BytesValue) (*wrapperspb.BytesValue, error) {
	var q question
	if err := json.Unmarshal(request.GetValue(), &q); err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	view, age := s.views(q.Table)
	if view == nil {
		return nil, status.Error(codes.NotFound, "this VM has no copy of the table")
	}
	answer := answer{AgeMS: age.Milliseconds()}
	answer.Revision = view.Revision
	if view.Revision > q.After {
		answer.Rows = view.Rows
	}
	body, err := json.Marshal(answer)
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	return wrapperspb.Bytes(body), nil
}
