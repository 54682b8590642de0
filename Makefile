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

# soak runs the packages with randomised tests for hours with fresh seeds, and then the history
# checks again and again; a failure prints its seed. Only the packages that import
# rapid know its flags.
SOAK_CHECKS ?= 20000
SOAK_COUNT ?= 100
RAPID_PACKAGES = $(shell go list -f '{{range .TestImports}}{{if eq . "pgregory.net/rapid"}}{{$$.ImportPath}}{{end}}{{end}}' ./internal/...)
soak:
	go test $(RAPID_PACKAGES) -count=1 -timeout 12h -rapid.seed=0 -rapid.checks=$(SOAK_CHECKS)
	go test ./internal/... -run History -count=$(SOAK_COUNT) -timeout 12h

bench:
	go test ./internal/... -run '^$$' -bench . -benchtime 1s
