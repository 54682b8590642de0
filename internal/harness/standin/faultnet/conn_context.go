package faultnet

import (
	"context"
	"net"
)

type connKey struct{}

// ConnContext is meant for http.Server.ConnContext. It stores the connection in the
// context, where ConnOf finds it.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ConnOf returns the connection of the request that ctx belongs to, or nil if ctx has
// none.
func ConnOf(ctx context.Context) *Conn {
	conn, _ := ctx.Value(connKey{}).(*Conn)
	return conn
}
