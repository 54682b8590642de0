package httpservice

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/service"
)

// The headers of the protocol with plain services.
const (
	HeaderRequestID      = "Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderNotRun         = "Geraniumcroft-Not-Run"
)

const (
	maxHead         = 64 << 10
	maxInterim      = 4
	readBufferSize  = 2 << 10
	writeBufferSize = 1 << 10
)

var (
	errUsed     = errors.New("the connection has already carried its call")
	errNoLength = errors.New("the response states no length, so its end cannot be told from a cut")
	errTooLarge = errors.New("the response is larger than the bound")
	errInterim  = errors.New("too many interim responses")
)

// conn carries one call at a time; it implements service.Conn.
type conn struct {
	client   *Client
	address  string
	raw      net.Conn
	reader   *bufio.Reader
	bound    *boundedReader
	used     bool
	provenAt time.Time
	expiry   *time.Timer // while kept
}

func newConn(c *Client, address string, raw net.Conn) *conn {
	bound := &boundedReader{conn: raw, silence: c.settings.Silence}
	return &conn{
		client:   c,
		address:  address,
		raw:      raw,
		bound:    bound,
		reader:   bufio.NewReaderSize(bound, readBufferSize),
		provenAt: time.Now(),
	}
}

// Discard implements service.Conn.
func (c *conn) Discard() {
	if c.used {
		return
	}
	c.used = true
	c.giveBack()
}

func (c *conn) giveBack() {
	next := newConn(c.client, c.address, c.raw)
	next.reader, next.bound = c.reader, c.bound
	next.provenAt = c.provenAt
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
		_ = c.raw.Close()
		return service.Response{}, &service.CallError{Address: c.address, Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.raw.Close() })
	sent, err := c.send(req)
	if err != nil {
		stop()
		return service.Response{}, c.failed(ctx, sent, err)
	}
	resp, reusable, err := c.receive(req)
	stopped := stop()
	if err != nil {
		return service.Response{}, c.failed(ctx, true, err)
	}
	if !reusable || !stopped {
		_ = c.raw.Close()
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

// send writes the request and reports whether a byte of it may have left.
func (c *conn) send(req *http.Request) (bool, error) {
	if err := c.raw.SetWriteDeadline(time.Now().Add(c.client.settings.Silence)); err != nil {
		return false, err
	}
	counted := &countingWriter{to: c.raw}
	buffered := bufio.NewWriterSize(counted, writeBufferSize)
	if err := req.Write(buffered); err != nil {
		return counted.sent > 0, err
	}
	err := buffered.Flush()
	return counted.sent > 0, err
}

// receive reads the whole response and reports whether the connection can carry
// another call.
func (c *conn) receive(req *http.Request) (service.Response, bool, error) {
	max := c.client.settings.MaxBody
	c.bound.left = max + maxHead
	resp, err := c.readHead(req)
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
	return answer, !resp.Close && c.reader.Buffered() == 0, nil
}

// readHead reads the response's head, past interim responses.
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	for range maxInterim {
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, errInterim
}

func (c *conn) failed(ctx context.Context, sent bool, err error) error {
	_ = c.raw.Close()
	failure := &service.CallError{Address: c.address, Sent: sent, Cause: err}
	if cause := context.Cause(ctx); cause != nil {
		failure.Cause = cause
		return failure
	}
	if isSilence(err) {
		failure.Silent = true
		c.client.suspect(c.address)
	}
	return failure
}

// isSilence reports whether our bound or the kernel's TCP_USER_TIMEOUT ended the wait.
func isSilence(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.ETIMEDOUT)
}

func readBounded(body io.Reader, max int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, max+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > max {
		return nil, errTooLarge
	}
	return data, nil
}
