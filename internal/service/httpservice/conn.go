package httpservice

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/service"
	"geraniumcroft/internal/transport"
)

// The headers of the protocol with plain services.
const (
	HeaderRequestID      = "Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderNotRun         = "Geraniumcroft-Not-Run"
)

// framingAllowance is how many bytes chunked framing may add to a body.
const framingAllowance = 64 << 10

var (
	errUsed     = errors.New("the connection has already carried its call")
	errNoLength = errors.New("the response states no length, so a truncated body cannot be detected")
)

// conn is a connection for one call. It implements service.Conn.
type conn struct {
	client        *Client
	address       string
	transportConn *transport.Conn
	// used says that the conn has carried its call or was released.
	used bool
	// lastActive is when the connection was opened or last brought a response.
	lastActive time.Time
	// expiry closes the connection; it is set while the connection is idle.
	expiry *time.Timer
}

// Release implements service.Conn.
func (c *conn) Release() {
	if c.used {
		return
	}
	c.used = true
	c.putIdle()
}

// putIdle stores the connection as idle in a new conn, so that a holder of the old one
// cannot send a second call on it.
func (c *conn) putIdle() {
	next := &conn{client: c.client, address: c.address, transportConn: c.transportConn, lastActive: c.lastActive}
	c.client.idle.put(next)
}

// Do implements service.Conn.
func (c *conn) Do(ctx context.Context, call service.Call) (service.Response, error) {
	if c.used {
		return service.Response{}, &service.CallError{Address: c.address, Cause: errUsed}
	}
	c.used = true
	req, err := newRequest(c.address, call)
	if err != nil {
		c.transportConn.Close()
		return service.Response{}, &service.CallError{Address: c.address, Cause: err}
	}
	stop := context.AfterFunc(ctx, c.transportConn.Close)
	defer stop()
	if sent, err := c.transportConn.Send(req); err != nil {
		return service.Response{}, c.fail(ctx, sent, err)
	}
	resp, reusable, err := c.receive(req)
	if err != nil {
		return service.Response{}, c.fail(ctx, true, err)
	}
	if !reusable || !stop() {
		c.transportConn.Close()
		return resp, nil
	}
	c.lastActive = time.Now()
	c.putIdle()
	return resp, nil
}

func newRequest(address string, call service.Call) (*http.Request, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	req.Header.Set(HeaderRequestID, call.RequestID)
	if call.ContentType != "" {
		req.Header.Set("Content-Type", call.ContentType)
	}
	if call.IdempotencyKey != "" {
		req.Header.Set(HeaderIdempotencyKey, call.IdempotencyKey)
	}
	return req, nil
}

// receive reads the complete response and reports whether the connection can carry
// another call.
func (c *conn) receive(req *http.Request) (service.Response, bool, error) {
	max := c.client.settings.MaxBodyBytes
	resp, err := c.transportConn.ReadHead(req, max+framingAllowance)
	if err != nil {
		return service.Response{}, false, err
	}
	defer resp.Body.Close()
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return service.Response{}, false, errNoLength
	}
	body, err := transport.ReadAll(resp.Body, max)
	if err != nil {
		return service.Response{}, false, err
	}
	response := service.Response{
		RequestID: resp.Header.Get(HeaderRequestID),
		Status:    resp.StatusCode,
		Header:    resp.Header,
		Body:      body,
		NotRun:    resp.Header.Get(HeaderNotRun) == "true",
	}
	return response, !resp.Close && c.transportConn.Buffered() == 0, nil
}

// fail closes the connection and returns a *CallError with what is known about the call.
func (c *conn) fail(ctx context.Context, sent bool, err error) error {
	c.transportConn.Close()
	callErr := &service.CallError{Address: c.address, Sent: sent, Silent: transport.IsTimeout(err), Cause: err}
	if cause := context.Cause(ctx); cause != nil {
		callErr.Cause = cause
		callErr.Silent = errors.Is(cause, context.DeadlineExceeded)
	}
	if callErr.Silent {
		c.client.suspect(c.address)
	}
	return callErr
}
