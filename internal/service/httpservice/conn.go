package httpservice

import (
	"bytes"
	"context"
	"io"
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

// framingAllowance is what chunked framing may add to a body, in bytes.
const framingAllowance = 64 << 10

var (
	errUsed     = errors.New("the connection has already carried its call")
	errNoLength = errors.New("the response states no length, so its end cannot be told from a cut")
)

// conn carries one call; it implements service.Conn.
type conn struct {
	client   *Client
	address  string
	wire     *transport.Conn
	used     bool
	provenAt time.Time
	expiry   *time.Timer // while kept
}

// Release implements service.Conn.
func (c *conn) Release() {
	if c.used {
		return
	}
	c.used = true
	c.giveBack()
}

// giveBack keeps the connection under a new handle, so that whoever holds the old
// one cannot send a second call on it.
func (c *conn) giveBack() {
	next := &conn{client: c.client, address: c.address, wire: c.wire, provenAt: c.provenAt}
	c.client.kept.put(next)
}

// Do implements service.Conn.
func (c *conn) Do(ctx context.Context, call service.Call) (service.Response, error) {
	if c.used {
		return service.Response{}, &service.CallError{Address: c.address, Cause: errUsed}
	}
	c.used = true
	req, err := newRequest(c.address, call)
	if err != nil {
		c.wire.Close()
		return service.Response{}, &service.CallError{Address: c.address, Cause: err}
	}
	stop := context.AfterFunc(ctx, c.wire.Close)
	defer stop()
	if sent, err := c.wire.Send(req); err != nil {
		return service.Response{}, c.failed(ctx, sent, err)
	}
	resp, reusable, err := c.receive(req)
	if err != nil {
		return service.Response{}, c.failed(ctx, true, err)
	}
	if !reusable || !stop() {
		c.wire.Close()
		return resp, nil
	}
	c.provenAt = time.Now()
	c.giveBack()
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

// receive reads the whole response and reports whether the connection can carry
// another call.
func (c *conn) receive(req *http.Request) (service.Response, bool, error) {
	max := c.client.settings.MaxBodyBytes
	resp, err := c.wire.ReadHead(req, max+framingAllowance)
	if err != nil {
		return service.Response{}, false, err
	}
	defer resp.Body.Close()
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return service.Response{}, false, errNoLength
	}
	body, err := readBounded(resp.Body, max)
	if err != nil {
		return service.Response{}, false, err
	}
	answer := service.Response{
		RequestID: resp.Header.Get(HeaderRequestID),
		Status:    resp.StatusCode,
		Header:    resp.Header,
		Body:      body,
		NotRun:    resp.Header.Get(HeaderNotRun) == "true",
	}
	return answer, !resp.Close && c.wire.Buffered() == 0, nil
}

// failed closes the connection and says what is known of the call.
func (c *conn) failed(ctx context.Context, sent bool, err error) error {
	c.wire.Close()
	failure := &service.CallError{Address: c.address, Sent: sent, Silent: transport.IsSilence(err), Cause: err}
	if cause := context.Cause(ctx); cause != nil {
		failure.Cause = cause
		failure.Silent = errors.Is(cause, context.DeadlineExceeded)
	}
	if failure.Silent {
		c.client.suspect(c.address)
	}
	return failure
}

func readBounded(body io.Reader, max int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, max+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > max {
		return nil, transport.ErrTooLarge
	}
	return data, nil
}
