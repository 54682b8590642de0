package mirror

import (
	"context"
	"runtime/debug"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"geraniumcroft/internal/platform"
)

const (
	fetchMethod = "/geraniumcroft.mirror.Mirror/Fetch"
	offerMethod = "/geraniumcroft.mirror.Mirror/Offer"
)

// mirrorServer is the interface of the service, as generated code would declare it.
type mirrorServer interface {
	fetch(ctx context.Context, request *wrapperspb.BytesValue) (*wrapperspb.BytesValue, error)
	offer(ctx context.Context, request *wrapperspb.BytesValue) (*wrapperspb.BytesValue, error)
	// logPanic logs that a method panicked.
	logPanic(value any, stack []byte)
}

var serviceDesc = grpc.ServiceDesc{
	ServiceName: "geraniumcroft.mirror.Mirror",
	HandlerType: (*mirrorServer)(nil),
	Methods: []grpc.MethodDesc{
		{MethodName: "Fetch", Handler: handle(mirrorServer.fetch)},
		{MethodName: "Offer", Handler: handle(mirrorServer.offer)},
	},
}

// handle returns the gRPC handler of a method. A panic only fails the call: the same message is
// sent to all VMs and would crash one after the other.
func handle(method func(mirrorServer, context.Context, *wrapperspb.BytesValue) (*wrapperspb.BytesValue, error)) grpc.MethodHandler {
	return func(server any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (reply any, err error) {
		defer func() {
			if panicked := recover(); panicked != nil {
				reply, err = nil, status.Errorf(codes.Internal, "the handler panicked: %v", panicked)
				server.(mirrorServer).logPanic(panicked, debug.Stack())
			}
		}()
		request := &wrapperspb.BytesValue{}
		if err := decode(request); err != nil {
			return nil, err
		}
		return method(server.(mirrorServer), ctx, request)
	}
}

// fetchRequest asks for a table if the peer's copy has something that one of the given era, revision
// and content lacks. VMs of an earlier version send only the revision.
type fetchRequest struct {
	Table   string `json:"table"`
	After   uint64 `json:"after"`
	Era     uint64 `json:"era,omitempty"`
	Content uint64 `json:"content,omitempty"`
	// Brief asks only for the revision and the status of the copy.
	Brief bool `json:"brief,omitempty"`
}

func newFetchRequest(table string, after platform.Cursor) fetchRequest {
	return fetchRequest{Table: table, After: after.Revision, Era: after.Era, Content: after.Content}
}

func (r fetchRequest) cursor() platform.Cursor {
	return platform.Cursor{Version: platform.Version{Era: r.Era, Revision: r.After}, Content: r.Content}
}

// fetchResponse is what the peer's copy has beyond the requested cursor. VMs of an earlier version send
// no era.
type fetchResponse struct {
	platform.Cursor
	copyStatus
	// Change is the packed change; it is empty if nothing changed or the request was brief.
	Change []byte `json:"change,omitempty"`
	// News is the peer's revision of the state that it shares outside of the tables; 0 if there is
	// none.
	News uint64 `json:"news,omitempty"`
	// CutOff says that the peer reaches no replica.
	CutOff bool `json:"cutOff,omitempty"`
}

// copyStatus describes how current a VM's copy is. Of two answers about the same copy, the status
// is taken as a whole: when a recent age was combined with an old revision, later copies were not
// confirmed.
type copyStatus struct {
	// UnchangedUpTo is the store's revision, in the era of the copy, up to which the copy is current.
	// It is 0 if that is not known, as in answers of VMs of an earlier version.
	UnchangedUpTo uint64 `json:"unchangedUpTo,omitempty"`
	// AgeMS is the time in milliseconds since the copy was confirmed to be current.
	AgeMS int64 `json:"ageMs"`
	// Settling says that rows may still reappear after a recent outage of the store.
	Settling bool `json:"settling,omitempty"`
	// SettlingLeftMS is for how long rows may still reappear, in milliseconds. It is 0 with
	// Settling set if the VM, of an earlier version, does not report it.
	SettlingLeftMS int64 `json:"settlingLeftMs,omitempty"`
	// SteadyMS is for how long the copy has been confirmed without a gap in which entries could expire, in
	// milliseconds. It is 0 if the VM, of an earlier version, does not report it.
	SteadyMS int64 `json:"steadyMs,omitempty"`
	// ByFeed says that the peer follows the store's feed.
	ByFeed bool `json:"byFeed,omitempty"`
	// ByRelay says that the peer copies from VMs that follow the feed, for others to copy from it.
	ByRelay bool `json:"byRelay,omitempty"`
	// CutOff says that the peer reaches no replica.
	CutOff bool `json:"cutOff,omitempty"`
}

// unchangedUpTo returns the store's revision up to which the copy is current, at least its own.
func (a *fetchResponse) unchangedUpTo() uint64 { return max(a.Revision, a.UnchangedUpTo) }

// laterThan reports whether a is about a later copy: one of a later content, or else version.
func (a *fetchResponse) laterThan(other *fetchResponse) bool {
	if a.Content != other.Content {
		return a.Content > other.Content
	}
	return a.After(other.Version)
}

// confirms reports whether the answer confirms a copy of the version.
func (a *fetchResponse) confirms(version platform.Version) bool {
	return a.Era == version.Era && a.unchangedUpTo() >= version.Revision
}

// fresherThan reports whether a is the better of two answers about the same copy, for a VM whose
// copy has the given version: it confirms that version while the other does not, or, if both or
// neither do, its copy was confirmed more recently.
func (a *fetchResponse) fresherThan(than *fetchResponse, version platform.Version) bool {
	confirms, thatConfirms := a.confirms(version), than.confirms(version)
	if confirms != thatConfirms {
		return confirms
	}
	return a.AgeMS < than.AgeMS
}

// offerRequest carries a copy that the VM which made it sends without a request.
type offerRequest struct {
	Table string `json:"table"`
	// Forward asks the receiver to pass the offer on to the others of its data centre that peers
	// ask.
	Forward bool `json:"forward,omitempty"`
	fetchResponse
}
