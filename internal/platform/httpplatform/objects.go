package httpplatform

import (
	"context"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/platform"
)

// Put implements platform.Objects. It is idempotent: the same object may be put
// again after any error.
func (c *Client) Put(ctx context.Context, name string, body []byte) error {
	answer, err := c.readAttempt(ctx, http.MethodPut, objectPath(name), body)
	if err == nil && answer.status != http.StatusOK {
		err = statusError(answer)
	}
	if err != nil {
		return &platform.UnavailableError{Operation: "put object", Cause: err}
	}
	return nil
}

// Fetch implements platform.Objects.
func (c *Client) Fetch(ctx context.Context, name string) ([]byte, error) {
	answer, err := c.readAttempt(ctx, http.MethodGet, objectPath(name), nil)
	if err == nil && answer.status == http.StatusNotFound {
		return nil, errors.Wrapf(platform.ErrNotFound, "object %q", name)
	}
	if err == nil && answer.status != http.StatusOK {
		err = statusError(answer)
	}
	if err != nil {
		return nil, &platform.UnavailableError{Operation: "fetch object", Cause: err}
	}
	return answer.body, nil
}

// VMs implements platform.VMList.
func (c *Client) VMs(ctx context.Context) ([]platform.VM, error) {
	var answer VMsResponse
	if err := c.readJSON(ctx, http.MethodGet, PathVMs, nil, &answer); err != nil {
		return nil, err
	}
	return answer.VMs, nil
}

func objectPath(name string) string { return PathObjects + url.PathEscape(name) }
