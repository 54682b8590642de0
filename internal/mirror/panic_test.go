package mirror

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"geraniumcroft/internal/platform"
)

// Guards against a peer's message that crashes each VM to which it is sent.
func TestHandlerThatPanicsFails(t *testing.T) {
	s := NewServer(func(string, platform.Cursor) (platform.TableChange, time.Duration, bool) { panic("a table") }, nil, zap.NewNop())
	defer s.Stop()
	decode := func(request any) error {
		proto.Merge(request.(proto.Message), wrapperspb.Bytes([]byte(`{"table":"a"}`)))
		return nil
	}
	_, err := serviceDesc.Methods[0].Handler(s, context.Background(), decode, nil)
	if status.Code(err) != codes.Internal {
		t.Errorf("%v", err)
	}
}
