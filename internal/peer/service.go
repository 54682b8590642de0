package peer

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding/gzip"

	"geraniumcroft/internal/peer/peerpb"
)

// service is the Node as its peers call it.
type service struct {
	peerpb.UnimplementedPeerServer
	node *Node
}

// Push implements peerpb.PeerServer.
func (s *service) Push(_ context.Context, r *peerpb.PushRequest) (*peerpb.PushResponse, error) {
	from := r.GetEnvelope()
	if !s.node.open(from) {
		return nil, errDropped
	}
	if s.node.apply(r.GetConfiguration()) {
		s.node.passOn(from.GetVm())
	}
	return &peerpb.PushResponse{Envelope: s.node.seal(from.GetVm(), maxProbeUpdates)}, nil
}

// Sync implements peerpb.PeerServer.
func (s *service) Sync(ctx context.Context, r *peerpb.SyncRequest) (*peerpb.SyncResponse, error) {
	n, from := s.node, r.GetEnvelope()
	if !n.open(from) {
		return nil, errDropped
	}
	n.load.take(from, r.GetLoad(), r.GetLoadSeen())
	answer := &peerpb.SyncResponse{Configuration: n.configurationAfter(from.GetVersion())}
	answer.Load, answer.LoadSeen = n.loadFor(from.GetVm())
	if worthCompressing(answer.Configuration) {
		_ = grpc.SetSendCompressor(ctx, gzip.Name)
	}
	if r.GetJoining() || n.differs(r.GetDigest()) {
		answer.Envelope = n.sealForJoiner()
	} else {
		answer.Envelope = n.seal(from.GetVm(), maxSyncUpdates)
	}
	return answer, nil
}

// Probe implements peerpb.PeerServer.
func (s *service) Probe(_ context.Context, r *peerpb.ProbeRequest) (*peerpb.ProbeResponse, error) {
	from := r.GetEnvelope()
	if !s.node.open(from) {
		return nil, errDropped
	}
	return &peerpb.ProbeResponse{Envelope: s.node.seal(from.GetVm(), maxProbeUpdates)}, nil
}

// ProbeFor implements peerpb.PeerServer.
func (s *service) ProbeFor(ctx context.Context, r *peerpb.ProbeForRequest) (*peerpb.ProbeForResponse, error) {
	from := r.GetEnvelope()
	if !s.node.open(from) {
		return nil, errDropped
	}
	answer := s.node.probe(ctx, r.GetVm(), r.GetAddress())
	return &peerpb.ProbeForResponse{Envelope: s.node.seal(from.GetVm(), maxProbeUpdates), Answer: answer}, nil
}

// Leave implements peerpb.PeerServer.
func (s *service) Leave(_ context.Context, r *peerpb.LeaveRequest) (*peerpb.LeaveResponse, error) {
	from := r.GetEnvelope()
	if !s.node.open(from) {
		return nil, errDropped
	}
	if r.GetStopped() {
		s.node.recordStopped(identityOf(from))
	}
	return &peerpb.LeaveResponse{Envelope: s.node.seal(from.GetVm(), maxProbeUpdates)}, nil
}
