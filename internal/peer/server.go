package peer

import (
	"net"

	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"
)

// maxStreams bounds the concurrent calls on one accepted connection.
const maxStreams = 64

func newServer(o Options, s Settings) *grpc.Server {
	return grpc.NewServer(
		grpc.Creds(serverCredentials(o)),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: s.KeepAlivePeriod, Timeout: s.KeepAliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: s.KeepAlivePeriod / 2, PermitWithoutStream: true}),
		grpc.ConnectionTimeout(s.TransferTimeout),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.ReadBufferSize(socketBufferLen),
		grpc.WriteBufferSize(socketBufferLen),
	)
}

// Serve accepts connections from peers and answers their calls until Stop.
func (n *Node) Serve(lis net.Listener) error {
	return n.server.Serve(&countingListener{
		Listener: lis,
		traffic:  n.traffic,
		prepare:  prepareAccepted(n.settings.KeepAliveTimeout),
	})
}
