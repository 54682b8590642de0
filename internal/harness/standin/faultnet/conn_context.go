package faultnet

import (
	"context"
	"net"
)

type connKey struct{}

// ConnContext is for http.Server: it lets a handler find its request's connection.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ConnOf returns the connection of the request that ctx belongs to, nil without one.
func ConnOf(ctx context.Context) *Conn {
	conn, _ := ctx.Value(connKey{}).(*Conn)
	return conn
}
