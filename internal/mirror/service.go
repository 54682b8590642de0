package mirror

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

const (
	fetchMethod = "/geraniumcroft.mirror.Mirror/Fetch"
	offerMethod = "/geraniumcroft.mirror.Mirror/Offer"
)

// mirrorServer is the service's interface, as generated code would have it.
type mirrorServer interface {
	fetch(ctx context.Context, request *wrapperspb.BytesValue) (*wrapperspb.BytesValue, error)
	offer(ctx context.Context, request *wrapperspb.BytesValue) (*wrapperspb.BytesValue, error)
}

var serviceDesc = grpc.ServiceDesc{
	ServiceName: "geraniumcroft.mirror.Mirror",
	HandlerType: (*mirrorServer)(nil),
	Methods: []grpc.MethodDesc{
		{MethodName: "Fetch", Handler: handle(mirrorServer.fetch)},
		{MethodName: "Offer", Handler: handle(mirrorServer.offer)},
	},
}

// handle makes a gRPC handler of a method.
func handle(method func(mirrorServer, context.Context, *wrapperspb.BytesValue) (*wrapperspb.BytesValue, error)) grpc.MethodHandler {
	return func(server any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
		request := &wrapperspb.BytesValue{}
		if err := decode(request); err != nil {
			return nil, err
		}
		return method(server.(mirrorServer), ctx, request)
	}
}

// question asks for a table if it is newer than a revision.
type question struct {
	Table string `json:"table"`
	After uint64 `json:"after"`
	// Brief asks for the revision and its age alone.
	Brief bool `json:"brief,omitempty"`
}

// answer is what a copy has beyond the revision that was asked for.
type answer struct {
	Revision uint64 `json:"revision"`
	// AgeMS is the time since the copy was confirmed to be the newest.
	AgeMS int64 `json:"ageMs"`
	// Settling says that the store was away a moment ago.
	Settling bool `json:"settling,omitempty"`
	// ByFeed says that the peer follows the store's feed itself.
	ByFeed bool `json:"byFeed,omitempty"`
	// Change is the packed change, without it if there is none or none was asked for.
	Change []byte `json:"change,omitempty"`
}

// offered is a copy that its maker hands on without being asked.
type offered struct {
	Table string `json:"table"`
	answer
}
