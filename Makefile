.PHONY: build test ci generate soak bench

build:
	go build -o geraniumcroft ./cmd/geraniumcroft

test:
	go test ./...

ci:
	.ci/run

# generate needs protoc on the PATH; the plugins are tools of go.mod.
generate:
	./scripts/generate.sh

# soak runs the randomised tests for hours with fresh seeds; a failure prints its seed.
SOAK_CHECKS ?= 20000
soak:
	go test ./internal/... -run 'Random|History' -count=1 -timeout 12h -rapid.checks=$(SOAK_CHECKS)

bench:
	go test ./internal/... -run '^$$' -bench . -benchtime 1s
