package security

import (
	"context"
	"net"

	"google.golang.org/grpc/credentials"
)

// Credentials returns gRPC credentials for both ends of a connection between
// peers. Each end checks the other's certificate against the authorities of now;
// the client also that the certificate is for the IP number that it dialled.
func (s *TLSSource) Credentials() credentials.TransportCredentials {
	return &peerCredentials{TransportCredentials: credentials.NewTLS(s.ServerConfig()), source: s}
}

// peerCredentials differ from gRPC's in the client's configuration, which is made
// for each handshake since it depends on the address.
type peerCredentials struct {
	credentials.TransportCredentials
	source *TLSSource
}

// ClientHandshake implements credentials.TransportCredentials.
func (c *peerCredentials) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	host, _, err := net.SplitHostPort(authority)
	if err != nil {
		host = authority
	}
	return credentials.NewTLS(c.source.ClientConfig(host)).ClientHandshake(ctx, authority, conn)
}

// Clone implements credentials.TransportCredentials. There is nothing to copy.
func (c *peerCredentials) Clone() credentials.TransportCredentials { return c }
