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

# soak runs the randomised tests for hours with fresh seeds, and then rounds of the
# history checks, each with another first seed. A failure prints its seed; see
# docs/developers.md. Only the packages that import rapid know its flags.
SOAK_CHECKS ?= 20000
SOAK_ROUNDS ?= 100
importing = $(shell go list -f '{{range .TestImports}}{{if eq . "$(1)"}}{{$$.ImportPath}}{{end}}{{end}}' ./internal/...)
soak:
	go test $(call importing,pgregory.net/rapid) -count=1 -timeout 12h -rapid.seed=0 -rapid.checks=$(SOAK_CHECKS)
	for round in $$(seq $(SOAK_ROUNDS)); do \
		export TEST_FIRST_SEED=$$(od -An -N4 -tu4 /dev/urandom | tr -d ' '); \
		echo "round $$round: TEST_FIRST_SEED=$$TEST_FIRST_SEED"; \
		go test $(call importing,github.com/anishathalye/porcupine) -count=1 -timeout 12h || exit 1; \
	done

bench:
	go test ./internal/... -run '^$$' -bench . -benchtime 1s
