package mirror

import (
	"context"
	"runtime/debug"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
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
	// panicked is told that a method panicked.
	panicked(value any, stack []byte)
}

var serviceDesc = grpc.ServiceDesc{
	ServiceName: "geraniumcroft.mirror.Mirror",
	HandlerType: (*mirrorServer)(nil),
	Methods: []grpc.MethodDesc{
		{MethodName: "Fetch", Handler: handle(mirrorServer.fetch)},
		{MethodName: "Offer", Handler: handle(mirrorServer.offer)},
	},
}

// handle makes a gRPC handler of a method. One that panics fails: the same message goes to all VMs
// and would end them one after the other.
func handle(method func(mirrorServer, context.Context, *wrapperspb.BytesValue) (*wrapperspb.BytesValue, error)) grpc.MethodHandler {
	return func(server any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (reply any, err error) {
		defer func() {
			if panicked := recover(); panicked != nil {
				reply, err = nil, status.Errorf(codes.Internal, "the handler panicked: %v", panicked)
				server.(mirrorServer).panicked(panicked, debug.Stack())
			}
		}()
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
	standing
	// Change is the packed change, without it if there is none or none was asked for.
	Change []byte `json:"change,omitempty"`
	// News is the peer's revision of what it tells beside tables, 0 while there is nothing.
	News uint64 `json:"news,omitempty"`
}

// standing is what a VM says of its copy. Of two answers about the same copy one's whole standing is
// taken: a young age with an old revision kept later copies from being confirmed.
type standing struct {
	// UnchangedUpTo is the store's revision up to which the copy is the newest; 0, as a VM of an
	// earlier version says, if that isn't known.
	UnchangedUpTo uint64 `json:"unchangedUpTo,omitempty"`
	// AgeMS is the time since the copy was confirmed to be the newest.
	AgeMS int64 `json:"ageMs"`
	// Settling says that the store was away a moment ago.
	Settling bool `json:"settling,omitempty"`
	// SettlingLeftMS is for how long rows may still come back, in milliseconds; 0 with Settling if
	// the VM, of an earlier version, does not say.
	SettlingLeftMS int64 `json:"settlingLeftMs,omitempty"`
	// ByFeed says that the peer follows the store's feed itself.
	ByFeed bool `json:"byFeed,omitempty"`
}

// unchangedUpTo is the store's revision up to which the copy is the newest.
func (a *answer) unchangedUpTo() uint64 { return max(a.Revision, a.UnchangedUpTo) }

// saysMore reports whether an answer about the same copy says more of what is in force than
// another one: it confirms a copy that was read at the revision, or does so later.
func (a *answer) saysMore(than *answer, revision uint64) bool {
	confirms, thatConfirms := a.unchangedUpTo() >= revision, than.unchangedUpTo() >= revision
	if confirms != thatConfirms {
		return confirms
	}
	return a.AgeMS < than.AgeMS
}

// offered is a copy that its maker hands on without being asked.
type offered struct {
	Table string `json:"table"`
	answer
}
