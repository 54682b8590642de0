package peer

import (
	"context"
	"crypto/tls"
	"net"

	"google.golang.org/grpc/credentials"
)

// ClientTLS returns the TLS configuration for connections to the peer with the given IP address.
type ClientTLS func(host string) *tls.Config

// clientCredentials gets its TLS configuration at each handshake, because the certificate of each
// peer must name that peer's IP address, which is not part of the handshake itself.
type clientCredentials struct {
	credentials.TransportCredentials
	config ClientTLS
}

func newClientCredentials(config ClientTLS) credentials.TransportCredentials {
	return clientCredentials{TransportCredentials: credentials.NewTLS(config("")), config: config}
}

// ClientHandshake implements credentials.TransportCredentials.
func (c clientCredentials) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	host, _, err := net.SplitHostPort(authority)
	if err != nil {
		host = authority
	}
	return credentials.NewTLS(c.config(host)).ClientHandshake(ctx, authority, conn)
}

// Clone implements credentials.TransportCredentials.
func (c clientCredentials) Clone() credentials.TransportCredentials { return c }
