package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/layers"
	"geraniumcroft/internal/pushback"
	"geraniumcroft/internal/transport"
)

const (
	// maxAnswerBytes bounds a replica's answer.
	maxAnswerBytes = 64 << 20
	// connectTimeout bounds the handshake. It takes about 2 ms; a replica that needs a
	// hundred times that is down or cut off.
	connectTimeout = 250 * time.Millisecond
)

// exchange is one send of a request to one replica and its answer, on a connection of
// their own.
type exchange struct {
	conn   *transport.Conn
	answer Response
	resp   *http.Response
	stop   func() bool
}

// target is where a request is sent.
type target struct {
	address     string
	incarnation incarnation.Key
	dataCentre  string
	path        layers.Path
}

// open sends the request and reads the head of the answer. The error is a *sendError.
func (h *Handler) open(ctx context.Context, q *request, to target, lastEvent string) (*exchange, error) {
	conn, err := h.connect(ctx, to.address)
	if err != nil {
		return nil, &sendError{Address: to.address, Cause: err}
	}
	if held := h.Pushback.CheckSend(to.incarnation, time.Now()); held != nil {
		conn.Close()
		return nil, &sendError{Address: to.address, Cause: held}
	}
	if ctx.Err() != nil || !q.boundary.BeginSend() {
		conn.Close()
		return nil, &sendError{Address: to.address, Cause: errors.New("the request ended before it was sent")}
	}
	x := &exchange{conn: conn, stop: context.AfterFunc(ctx, conn.Close)}
	conn.Until(q.deadline)
	out := h.outgoing(q, to, lastEvent)
	sentAt := time.Now()
	h.Pushback.Sent(to.incarnation)
	if sent, err := conn.Send(out); err != nil {
		x.close()
		if !sent {
			q.boundary.MarkNotRun()
		}
		return nil, &sendError{Address: to.address, Sent: sent, Cause: err}
	}
	if err := x.readHead(h.Codec, out, q.RequestID); err != nil {
		x.close()
		return nil, &sendError{Address: to.address, Sent: true, Cause: err}
	}
	if x.answer.NotRun {
		q.boundary.MarkNotRun()
	}
	h.heard(to, x, sentAt)
	return x, nil
}

// heard takes what the replica asks of its callers. An answer for want of the replica that was meant
// comes from another one.
func (h *Handler) heard(to target, x *exchange, sent time.Time) {
	if x.resp.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	from := pushback.Origin{Replica: to.incarnation, DataCentre: to.dataCentre, Sent: sent}
	h.Pushback.Observe(from, x.answer.Pushback, time.Now())
}

func (h *Handler) connect(ctx context.Context, address string) (*transport.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	return h.Pool.Connect(ctx, address, time.Hour)
}

func (h *Handler) outgoing(q *request, to target, lastEvent string) *http.Request {
	header := withoutHops(q.header)
	if _, given := header["User-Agent"]; !given {
		header["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	h.Codec.Encode(header, Outbound{
		Left: q.left(), ReplicaID: to.incarnation.ID, Workspace: q.workspace,
		Priority: q.priority, Path: to.path, LastEventID: lastEvent,
	})
	target := *q.url
	target.Scheme, target.Host = "http", to.address
	out := &http.Request{Method: q.method, URL: &target, Host: q.host, Header: header, Close: true, ProtoMajor: 1, ProtoMinor: 1}
	if len(q.body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(q.body))
		out.ContentLength = int64(len(q.body))
	} else {
		out.Body = http.NoBody
	}
	return out
}

// readHead reads the answer's head. One that is for another request belongs to nobody
// here.
func (x *exchange) readHead(codec Codec, out *http.Request, requestID string) error {
	resp, err := x.conn.ReadHead(out, maxAnswerBytes)
	if err != nil {
		return err
	}
	x.resp = resp
	x.answer = codec.DecodeResponse(resp.StatusCode, resp.Header)
	if x.answer.RequestID != requestID && !x.answer.NotRun {
		return errors.Newf("the answer is for request %q", x.answer.RequestID)
	}
	if x.answer.Encoded {
		return errors.New("the answer's body is encoded")
	}
	return nil
}

// body reads the whole body.
func (x *exchange) body() ([]byte, error) { return io.ReadAll(x.resp.Body) }

func (x *exchange) close() {
	x.stop()
	x.conn.Close()
}
