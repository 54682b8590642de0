package peer

import (
	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding/gzip"

	"geraniumcroft/internal/peer/peerpb"
)

// minCompressedSize is the size in bytes from which a configuration is compressed.
const minCompressedSize = 8 << 10

func shouldCompress(c *peerpb.Configuration) bool {
	return len(c.GetChanges())+len(c.GetSnapshot()) >= minCompressedSize
}

func compressionOptions(c *peerpb.Configuration) []grpc.CallOption {
	if !shouldCompress(c) {
		return nil
	}
	return []grpc.CallOption{grpc.UseCompressor(gzip.Name)}
}
