package api

import (
	"context"
	"sync/atomic"

	"geraniumcroft/internal/router"
)

// fakeRouter is a Router with replaceable methods that counts its requests.
type fakeRouter struct {
	generate func(ctx context.Context, r router.GenerateRequest, sink router.TokenSink) (router.GenerateResult, error)
	call     func(ctx context.Context, r router.CallRequest) (router.CallResult, error)
	unready  atomic.Bool
	requests atomic.Int64
}

func (f *fakeRouter) Generate(ctx context.Context, r router.GenerateRequest, sink router.TokenSink) (router.GenerateResult, error) {
	f.requests.Add(1)
	return f.generate(ctx, r, sink)
}

func (f *fakeRouter) Call(ctx context.Context, r router.CallRequest) (router.CallResult, error) {
	f.requests.Add(1)
	return f.call(ctx, r)
}

func (f *fakeRouter) Ready() bool { return !f.unready.Load() }

// tokens returns a generate function that passes the texts to the sink.
func tokens(texts ...string) func(context.Context, router.GenerateRequest, router.TokenSink) (router.GenerateResult, error) {
	return func(_ context.Context, _ router.GenerateRequest, sink router.TokenSink) (router.GenerateResult, error) {
		for i, text := range texts {
			if err := sink.Token(i, text); err != nil {
				return router.GenerateResult{}, err
			}
		}
		return router.GenerateResult{Tokens: len(texts), Finish: "stop", Epochs: 1}, nil
	}
}
