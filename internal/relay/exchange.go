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
	// maxResponseBytes bounds a replica's response.
	maxResponseBytes = 64 << 20
	// connectTimeout bounds the connection handshake. It usually takes about 2 ms; a replica that
	// needs a hundred times that is down or unreachable.
	connectTimeout = 250 * time.Millisecond
)

// exchange is one request to one replica with its response, on a connection that is used for
// nothing else.
type exchange struct {
	conn *transport.Conn
	head Response
	resp *http.Response
	stop func() bool
}

// target is the destination of a request.
type target struct {
	address     string
	incarnation incarnation.Key
	dataCentre  string
	path        layers.Path
}

// open sends the request and reads the head of the response. The error is a *sendError.
func (h *Handler) open(ctx context.Context, q *request, to target, lastEvent string) (*exchange, error) {
	q.direct.Store(false)
	conn, err := h.connect(transport.WithLabel(ctx, q.RequestID), to.address)
	if err != nil {
		return nil, &sendError{Address: to.address, Cause: err}
	}
	if peer := conn.Peer(); peer != "" {
		q.peers = append(q.peers, peer)
	} else {
		q.direct.Store(true)
	}
	if err := h.checkSend(to); err != nil {
		conn.Close()
		return nil, &sendError{Address: to.address, Cause: err}
	}
	if ctx.Err() != nil || !q.sendGuard.BeginSend() {
		conn.Close()
		return nil, &sendError{Address: to.address, Cause: errors.New("request ended before it was sent")}
	}
	x := &exchange{conn: conn, stop: context.AfterFunc(ctx, conn.Close)}
	conn.SetDeadline(q.deadline)
	conn.SetMemory(headMemory{h.bodies})
	out := h.outgoingRequest(q, to, lastEvent)
	sentAt := time.Now()
	h.Pushback.Sent(to.incarnation)
	if sent, err := conn.Send(out); err != nil {
		x.close()
		if !sent {
			q.sendGuard.MarkNotRun()
		}
		return nil, &sendError{Address: to.address, Sent: sent, Cause: err}
	}
	if err := x.readHead(h.Codec, out, q.RequestID); err != nil {
		x.close()
		return nil, &sendError{Address: to.address, Sent: true, Cause: err}
	}
	if x.head.NotRun {
		q.sendGuard.MarkNotRun()
	}
	h.applyPushback(to, x, sentAt)
	return x, nil
}

// checkSend returns an error if a request must not be sent any more where it was to go when that was chosen:
// the replica has left, or has asked for a pause. A request that it ends was not sent.
func (h *Handler) checkSend(to target) error {
	if err := h.checkListed(to); err != nil {
		return err
	}
	if throttled := h.Pushback.CheckSend(to.incarnation, time.Now()); throttled != nil {
		return throttled
	}
	return nil
}

// applyPushback records what the replica asks of its callers. A response with status 421 comes from
// another replica than the intended one and is ignored.
func (h *Handler) applyPushback(to target, x *exchange, sent time.Time) {
	if x.resp.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	from := pushback.Origin{Replica: to.incarnation, DataCentre: to.dataCentre, Sent: sent}
	h.Pushback.Observe(from, x.head.Pushback, time.Now())
}

// connect opens a new connection to a replica.
func (h *Handler) connect(ctx context.Context, address string) (*transport.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	return h.Pool.Connect(ctx, address, time.Hour)
}

// outgoingRequest returns the request as it is sent to a replica.
func (h *Handler) outgoingRequest(q *request, to target, lastEvent string) *http.Request {
	header := withoutHopHeaders(q.header)
	if _, given := header["User-Agent"]; !given {
		header["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	h.Codec.Encode(header, Outbound{
		Left: q.remaining(), ReplicaID: to.incarnation.ID, Workspace: q.workspace,
		Priority: q.enginePriority(), Path: to.path, LastEventID: lastEvent,
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

const (
	// maxForeignAnswers and maxForeignBytes bound the answers to other requests that are passed over before the
	// one that is waited for.
	maxForeignAnswers = 2
	maxForeignBytes   = 64 << 10
)

// readHead reads the head of the response to the request with the given id. An answer to another request may
// arrive late, where this one is expected; it says nothing of this request, not even that it did not run.
func (x *exchange) readHead(codec Codec, out *http.Request, requestID string) error {
	for foreign := 0; ; foreign++ {
		resp, err := x.conn.ReadHead(out, maxResponseBytes)
		if err != nil {
			return err
		}
		x.resp = resp
		x.head = codec.DecodeResponse(resp.StatusCode, resp.Header)
		if !x.head.isFor(requestID) {
			if foreign == maxForeignAnswers || !x.skipBody() {
				return errors.Newf("response is for request %q", x.head.RequestID)
			}
			continue
		}
		if x.head.Encoded {
			return errors.New("response body is encoded")
		}
		if success := resp.StatusCode/100 == 2; success && !x.head.NotRun && !x.head.Signed {
			return errors.New("success without the replica's signature")
		}
		return nil
	}
}

// isFor reports whether a response belongs to a request. A replica may reject a request without naming it.
func (r Response) isFor(requestID string) bool {
	return r.RequestID == requestID || r.RequestID == "" && r.NotRun
}

// skipBody reads a short body to its end and reports whether the next answer follows it.
func (x *exchange) skipBody() bool {
	if x.unframed() {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(x.resp.Body, maxForeignBytes+1))
	return err == nil && n <= maxForeignBytes
}

// undeclaredRefusal returns an error if the replica's status promises callers that the request has not run,
// while the replica has not declared so and the request may not be repeated. Callers would send it again.
func (x *exchange) undeclaredRefusal(profile *Profile) error {
	switch x.resp.StatusCode {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if !profile.Repeatable() {
			return &sendError{Address: x.resp.Request.URL.Host, Sent: true, Cause: errors.Newf("status %d, not declared as not run", x.resp.StatusCode)}
		}
	}
	return nil
}

// body reads the whole body into memory of which credit bytes are reserved already. The caller releases the buffer.
func (x *exchange) body(memory *bodyMemory, credit int64) (*bodyBuffer, error) {
	declared := x.resp.ContentLength
	if x.resp.Body == http.NoBody {
		declared = 0 // the answer to a HEAD request declares the length of another one
	}
	buffer, err := newAnswerBuffer(memory, declared, credit)
	if err != nil {
		return nil, err
	}
	if err := buffer.readFrom(x.resp.Body); err != nil {
		buffer.release()
		return nil, err
	}
	return buffer, nil
}

// close releases the connection, whose remaining bytes are not read.
func (x *exchange) close() {
	x.stop()
	x.conn.Close()
}
