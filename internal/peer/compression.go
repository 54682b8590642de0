package peer

import (
	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding/gzip"

	"geraniumcroft/internal/peer/peerpb"
)

// compressFrom is the size at which a configuration is worth compressing.
const compressFrom = 8 << 10

func worthCompressing(c *peerpb.Configuration) bool {
	return len(c.GetChanges())+len(c.GetSnapshot()) >= compressFrom
}

func compression(c *peerpb.Configuration) []grpc.CallOption {
	if !worthCompressing(c) {
		return nil
	}
	return []grpc.CallOption{grpc.UseCompressor(gzip.Name)}
}
