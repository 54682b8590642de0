package httpplatform

import (
	"context"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/platform"
)

// Put implements platform.Objects. It is idempotent: it may be repeated with the same object
// after any error.
func (c *Client) Put(ctx context.Context, name string, body []byte) error {
	resp, err := c.idempotentAttempt(ctx, http.MethodPut, objectPath(name), body)
	if err == nil && resp.status != http.StatusOK {
		err = statusError(resp)
	}
	if err != nil {
		return &platform.UnavailableError{Operation: "put object", Cause: err}
	}
	return nil
}

// Fetch implements platform.Objects.
func (c *Client) Fetch(ctx context.Context, name string) ([]byte, error) {
	resp, err := c.idempotentAttempt(ctx, http.MethodGet, objectPath(name), nil)
	if err == nil && resp.status == http.StatusNotFound {
		return nil, errors.Wrapf(platform.ErrNotFound, "object %q", name)
	}
	if err == nil && resp.status != http.StatusOK {
		err = statusError(resp)
	}
	if err != nil {
		return nil, &platform.UnavailableError{Operation: "fetch object", Cause: err}
	}
	return resp.body, nil
}

// VMs implements platform.VMList.
func (c *Client) VMs(ctx context.Context) ([]platform.VM, error) {
	var resp VMsResponse
	if err := c.readJSON(ctx, http.MethodGet, PathVMs, nil, &resp); err != nil {
		return nil, err
	}
	return resp.VMs, nil
}

func objectPath(name string) string { return PathObjects + url.PathEscape(name) }
