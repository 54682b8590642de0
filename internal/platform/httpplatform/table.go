package httpplatform

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/platform"
)

// Commit implements platform.Table. It sends the transaction once.
func (c *Client) Commit(ctx context.Context, txn platform.Txn) error {
	body, err := json.Marshal(txn)
	if err != nil {
		return &platform.InvalidTxnError{TxnID: txn.ID, Reason: err.Error()}
	}
	answer, err := c.attempt(ctx, http.MethodPost, PathCommit, body)
	if err != nil {
		return commitFailure(txn.ID, err)
	}
	return commitResult(txn.ID, answer)
}

func commitFailure(txnID string, err error) error {
	var failure *attemptError
	if errors.As(err, &failure) && !failure.sent {
		return &platform.UnavailableError{Operation: "commit", Cause: err}
	}
	return &platform.AmbiguousError{TxnID: txnID, Cause: err}
}

func commitResult(txnID string, answer response) error {
	switch answer.status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		var refused RowsResponse
		if err := json.Unmarshal(answer.body, &refused); err != nil {
			return &platform.AmbiguousError{TxnID: txnID, Cause: err}
		}
		return &platform.RefusedError{Rows: refused.Rows}
	}
	status := statusError(answer)
	// Only the service itself can vouch that nothing took effect; a bare 5xx may
	// come from a proxy on the way, behind which the commit goes on.
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
	var answer RowsResponse
	if err := c.readJSON(ctx, http.MethodPost, path, body, &answer); err != nil {
		return nil, err
	}
	return answer.Rows, nil
}

func (c *Client) readJSON(ctx context.Context, method, path string, body []byte, into any) error {
	answer, err := c.readAttempt(ctx, method, path, body)
	if err == nil && answer.status != http.StatusOK {
		err = statusError(answer)
	}
	if err == nil {
		err = json.Unmarshal(answer.body, into)
	}
	if err != nil {
		return &platform.UnavailableError{Operation: path, Cause: err}
	}
	return nil
}

func statusError(answer response) *StatusError {
	status := &StatusError{Status: answer.status}
	// A body that is no problem leaves the code empty, which vouches for nothing.
	_ = json.Unmarshal(answer.body, &status.Problem)
	return status
}
