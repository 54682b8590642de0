package mirror

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"geraniumcroft/internal/platform"
)

const fetchMethod = "/geraniumcroft.mirror.Mirror/Fetch"

// fetcher is the service's interface, as generated code would have it.
type fetcher interface {
	fetch(ctx context.Context, request *wrapperspb.BytesValue) (*wrapperspb.BytesValue, error)
}

var serviceDesc = grpc.ServiceDesc{
	ServiceName: "geraniumcroft.mirror.Mirror",
	HandlerType: (*fetcher)(nil),
	Methods:     []grpc.MethodDesc{{MethodName: "Fetch", Handler: handleFetch}},
}

func handleFetch(server any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
	request := &wrapperspb.BytesValue{}
	if err := decode(request); err != nil {
		return nil, err
	}
	return server.(fetcher).fetch(ctx, request)
}

// answer is what a copy has beyond the revision that was asked for.
type answer struct {
	platform.TableChange
	// AgeMS is the time since the copy was confirmed to be the newest.
	AgeMS int64 `json:"ageMs"`
}

// question asks for a table if it is newer than a revision.
type question struct {
	Table string `json:"table"`
	After uint64 `json:"after"`
}
