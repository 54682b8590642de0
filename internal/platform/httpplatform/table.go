package httpplatform

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/platform"
)

// Commit implements platform.Table. It sends the transaction at most once.
func (c *Client) Commit(ctx context.Context, txn platform.Txn) error {
	body, err := json.Marshal(txn)
	if err != nil {
		return &platform.InvalidTxnError{TxnID: txn.ID, Reason: err.Error()}
	}
	resp, err := c.attempt(ctx, http.MethodPost, PathCommit, body)
	if err != nil {
		return commitError(txn.ID, err)
	}
	return commitResult(txn.ID, resp)
}

func commitError(txnID string, err error) error {
	var failure *attemptError
	if errors.As(err, &failure) && !failure.sent {
		return &platform.UnavailableError{Operation: "commit", Cause: err}
	}
	return &platform.AmbiguousError{TxnID: txnID, Cause: err}
}

func commitResult(txnID string, resp response) error {
	switch resp.status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		var refused RowsResponse
		if err := json.Unmarshal(resp.body, &refused); err != nil {
			return &platform.AmbiguousError{TxnID: txnID, Cause: err}
		}
		return &platform.RefusedError{Rows: refused.Rows}
	}
	status := statusError(resp)
	// Only the service itself can state that nothing took effect. A 5xx without its code
	// may come from a proxy, behind which the commit continues.
	if status.Problem.Code == CodeNotApplied {
		return &platform.UnavailableError{Operation: "commit", Cause: status}
	}
	return &platform.AmbiguousError{TxnID: txnID, Cause: status}
}

// Get implements platform.Table.
func (c *Client) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	return c.rows(ctx, PathGet, GetRequest{Keys: keys})
}

// Scan implements platform.Table.
func (c *Client) Scan(ctx context.Context, from, to string, limit int) ([]platform.Row, error) {
	return c.rows(ctx, PathScan, ScanRequest{From: from, To: to, Limit: limit})
}

func (c *Client) rows(ctx context.Context, path string, request any) ([]platform.Row, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	var resp RowsResponse
	if err := c.readJSON(ctx, http.MethodPost, path, body, &resp); err != nil {
		return nil, err
	}
	return resp.Rows, nil
}

func (c *Client) readJSON(ctx context.Context, method, path string, body []byte, into any) error {
	resp, err := c.idempotentAttempt(ctx, method, path, body)
	if err == nil && resp.status != http.StatusOK {
		err = statusError(resp)
	}
	if err == nil {
		err = json.Unmarshal(resp.body, into)
	}
	if err != nil {
		return &platform.UnavailableError{Operation: path, Cause: err}
	}
	return nil
}

func statusError(resp response) *StatusError {
	status := &StatusError{Status: resp.status}
	// If the body is not a Problem the code stays empty, so it is never CodeNotApplied.
	_ = json.Unmarshal(resp.body, &status.Problem)
	return status
}
