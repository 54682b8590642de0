package allocator

import (
	"context"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"geraniumcroft/internal/transport"
)

// dialer opens the stream of a session. Tests replace it.
type dialer interface {
	open(ctx context.Context, address string) (messageStream, error)
}

// maxRedialDelay bounds the delay before an unreachable VM is dialled again.
const maxRedialDelay = 500 * time.Millisecond

// grpcDialer opens each stream over a gRPC connection of its own.
type grpcDialer struct {
	dial transport.DialFunc
}

// open implements dialer. The stream and its connection end with ctx. A connection that is kept longer
// would leave goroutines behind for each VM that was an allocator once.
func (d grpcDialer) open(ctx context.Context, address string) (messageStream, error) {
	backoffConfig := backoff.DefaultConfig
	backoffConfig.MaxDelay = maxRedialDelay
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoffConfig, MinConnectTimeout: maxRedialDelay}),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) { return d.dial(ctx, "tcp", address) }))
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	return conn.NewStream(ctx, &serviceDesc.Streams[0], sessionMethod)
}
