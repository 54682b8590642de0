package allocator

import (
	"encoding/json"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

const sessionMethod = "/geraniumcroft.allocator.Allocator/Session"

// serviceDesc has the stream Session of a VM. The VM sends clientMessages, the allocator
// serverMessages.
var serviceDesc = grpc.ServiceDesc{
	ServiceName: "geraniumcroft.allocator.Allocator",
	HandlerType: (*sessionServer)(nil),
	Streams: []grpc.StreamDesc{{
		StreamName: "Session", ServerStreams: true, ClientStreams: true,
		Handler: func(server any, stream grpc.ServerStream) error { return server.(sessionServer).session(stream) },
	}},
}

// sessionServer is the interface of the service, as generated code would declare it.
type sessionServer interface {
	session(stream grpc.ServerStream) error
}

// clientMessage is sent by a VM. ID numbers the VM's paths; exactly one other field is set.
type clientMessage struct {
	ID uint64 `json:"id"`
	// From is the VM's name. It is set in the first message alone.
	From string `json:"from,omitempty"`
	// Request asks for a path, Hold tells of one that the VM has in use already.
	Request *Request `json:"request,omitempty"`
	Hold    *Hold    `json:"hold,omitempty"`
	// Release ends the use of a path, or withdraws a request.
	Release bool `json:"release,omitempty"`
	// Served says that every replica of a released path did its work.
	Served bool `json:"served,omitempty"`
	// Rejection tells of a replica that turned a request away.
	Rejection *Rejection `json:"rejection,omitempty"`
}

// serverMessage answers a request. The first answer to each is Received.
type serverMessage struct {
	// Hello is set in the first message of a stream alone.
	Hello    bool     `json:"hello,omitempty"`
	ID       uint64   `json:"id"`
	Received bool     `json:"received,omitempty"`
	Path     []Stage  `json:"path,omitempty"`
	Refusal  *refusal `json:"refusal,omitempty"`
}

type refusal struct {
	Reason string `json:"reason"`
	Detail string `json:"detail"`
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
