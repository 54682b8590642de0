// Package peerpb is the protocol between the system's own VMs. It is generated from peer.proto by
// protoc with protoc-gen-go and protoc-gen-go-grpc. The generated code is committed, so that the
// build needs no generator.
package peerpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative peer.proto
