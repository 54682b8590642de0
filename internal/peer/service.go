package peer

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding/gzip"

	"geraniumcroft/internal/peer/peerpb"
)

// service implements the peer protocol's server for a Node.
type service struct {
	peerpb.UnimplementedPeerServer
	node *Node
}

// Push implements peerpb.PeerServer.
func (s *service) Push(_ context.Context, r *peerpb.PushRequest) (*peerpb.PushResponse, error) {
	from := r.GetEnvelope()
	if !s.node.acceptEnvelope(from) {
		return nil, errDropped
	}
	if s.node.apply(r.GetConfiguration()) {
		s.node.forwardChanges(from.GetVm())
	}
	return &peerpb.PushResponse{Envelope: s.node.newEnvelope(from.GetVm(), maxProbeUpdates)}, nil
}

// Sync implements peerpb.PeerServer.
func (s *service) Sync(ctx context.Context, r *peerpb.SyncRequest) (*peerpb.SyncResponse, error) {
	n, from := s.node, r.GetEnvelope()
	if !n.acceptEnvelope(from) {
		return nil, errDropped
	}
	n.load.receive(from, r.GetLoad(), r.GetLoadSeen())
	answer := &peerpb.SyncResponse{Configuration: n.configurationAfter(from.GetVersion())}
	answer.Load, answer.LoadSeen = n.loadFor(from.GetVm())
	if shouldCompress(answer.Configuration) {
		_ = grpc.SetSendCompressor(ctx, gzip.Name)
	}
	if r.GetJoining() || n.digestDiffers(r.GetDigest()) {
		answer.Envelope = n.newFullEnvelope()
	} else {
		answer.Envelope = n.newEnvelope(from.GetVm(), maxSyncUpdates)
	}
	return answer, nil
}

// Probe implements peerpb.PeerServer.
func (s *service) Probe(_ context.Context, r *peerpb.ProbeRequest) (*peerpb.ProbeResponse, error) {
	from := r.GetEnvelope()
	if !s.node.acceptEnvelope(from) {
		return nil, errDropped
	}
	return &peerpb.ProbeResponse{Envelope: s.node.newEnvelope(from.GetVm(), maxProbeUpdates)}, nil
}

// ProbeFor implements peerpb.PeerServer.
func (s *service) ProbeFor(ctx context.Context, r *peerpb.ProbeForRequest) (*peerpb.ProbeForResponse, error) {
	from := r.GetEnvelope()
	if !s.node.acceptEnvelope(from) {
		return nil, errDropped
	}
	answer := s.node.probe(ctx, r.GetVm(), r.GetAddress())
	return &peerpb.ProbeForResponse{Envelope: s.node.newEnvelope(from.GetVm(), maxProbeUpdates), Answer: answer}, nil
}

// Leave implements peerpb.PeerServer.
func (s *service) Leave(_ context.Context, r *peerpb.LeaveRequest) (*peerpb.LeaveResponse, error) {
	from := r.GetEnvelope()
	if !s.node.acceptEnvelope(from) {
		return nil, errDropped
	}
	if r.GetStopped() {
		s.node.recordStopped(identityOf(from))
	}
	return &peerpb.LeaveResponse{Envelope: s.node.newEnvelope(from.GetVm(), maxProbeUpdates)}, nil
}
