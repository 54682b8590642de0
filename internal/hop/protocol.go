package hop

import (
	"encoding/json"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

const connectMethod = "/geraniumcroft.hop.Hop/Connect"

// serviceDesc has the stream Connect. The caller sends a connectRequest, the peer a connectReply; after
// that both send the bytes of the connection. All messages are the well-known wrapper of bytes.
var serviceDesc = grpc.ServiceDesc{
	ServiceName: "geraniumcroft.hop.Hop",
	HandlerType: (*connectServer)(nil),
	Streams: []grpc.StreamDesc{{
		StreamName: "Connect", ServerStreams: true, ClientStreams: true,
		Handler: func(server any, stream grpc.ServerStream) error { return server.(connectServer).connect(stream) },
	}},
}

// connectServer is the interface of the service, as generated code would declare it.
type connectServer interface {
	connect(stream grpc.ServerStream) error
}

// connectRequest asks for a connection to a replica.
type connectRequest struct {
	Address string `json:"address"`
	// TimeoutMS is how long the peer may take to connect.
	TimeoutMS int64 `json:"timeoutMs"`
	// From is the name of the asking VM, RequestID the request that the connection is for, "" if it is
	// for none. Both are for the log.
	From      string `json:"from"`
	RequestID string `json:"requestId,omitempty"`
}

// connectResult is the result of a connectRequest.
type connectResult string

const (
	resultConnected connectResult = "connected"
	// resultRefused and resultUnreached are about the replica: it refused the connection, or the peer
	// did not reach it.
	resultRefused   connectResult = "refused"
	resultUnreached connectResult = "unreached"
	// resultDeclined means that the peer passes no connection on now, or not to that address.
	resultDeclined connectResult = "declined"
)

// connectReply answers a connectRequest.
type connectReply struct {
	Result connectResult `json:"result"`
	Reason string        `json:"reason,omitempty"`
}

// messageStream is the part of both ends of a stream that sendJSON and receiveJSON use.
type messageStream interface {
	SendMsg(m any) error
	RecvMsg(m any) error
}

func sendJSON(stream messageStream, message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	return stream.SendMsg(wrapperspb.Bytes(body))
}

func receiveJSON(stream messageStream, message any) error {
	received := &wrapperspb.BytesValue{}
	if err := stream.RecvMsg(received); err != nil {
		return err
	}
	return json.Unmarshal(received.GetValue(), message)
}
