#!/usr/bin/env bash
# Generates the Go code of the peers' protocol. The plugins of protoc are tools of go.mod.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/" google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
PATH="$bin:$PATH" protoc -I internal/peer/peerpb \
  --go_out=internal/peer/peerpb --go_opt=paths=source_relative \
  --go-grpc_out=internal/peer/peerpb --go-grpc_opt=paths=source_relative \
  internal/peer/peerpb/*.proto
