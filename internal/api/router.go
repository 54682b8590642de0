package api

import (
	"context"

	"geraniumcroft/internal/router"
)

// Router runs the requests that the API has parsed. Errors are *outcome.Failure.
type Router interface {
	// Generate passes all tokens to the sink, in order, before it returns.
	Generate(ctx context.Context, r router.GenerateRequest, sink router.TokenSink) (router.GenerateResult, error)
	// Call calls a plain service.
	Call(ctx context.Context, r router.CallRequest) (router.CallResult, error)
	// Ready reports whether the balancer should send requests to this VM.
	Ready() bool
}
