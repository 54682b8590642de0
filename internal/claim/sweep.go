package claim

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"geraniumcroft/internal/platform"
)

// Sweep reads up to limit rows, starting where the last sweep stopped, and deletes
// the rows of keys whose retention has expired. The holder of a lease calls it.
func (c *Claims) Sweep(ctx context.Context, now time.Time, limit int) (SweepResult, error) {
	c.cursor.mu.Lock()
	defer c.cursor.mu.Unlock()
	// A key has two rows. A page of one row could never hold both.
	limit = max(limit, 2)
	rows, err := c.table.Scan(ctx, max(c.cursor.from, rowPrefix), rowPrefixEnd, limit)
	if err != nil {
		return SweepResult{}, err
	}
	result := SweepResult{Scanned: len(rows), Wrapped: len(rows) < limit}
	rows, nextFrom := trimPartialKey(rows, result.Wrapped)
	result.Deleted, err = c.deleteExpired(ctx, rows, now)
	if err != nil {
		return result, err
	}
	c.cursor.from = nextFrom
	c.counters.swept.Add(uint64(result.Deleted))
	return result, nil
}

// trimPartialKey removes a claim row at the end of a page, as its end row may be on
// the next page. It also returns the key at which the next page starts.
func trimPartialKey(rows []platform.Row, lastPage bool) ([]platform.Row, string) {
	if lastPage || len(rows) == 0 {
		return rows, ""
	}
	lastKey := rows[len(rows)-1].Key
	if strings.HasSuffix(lastKey, claimSuffix) {
		return rows[:len(rows)-1], lastKey
	}
	return rows, lastKey + "\x00"
}

// deleteExpired deletes the rows of expired keys in one transaction. It returns how
// many rows it deleted, 0 if the result of the transaction is ambiguous.
func (c *Claims) deleteExpired(ctx context.Context, rows []platform.Row, now time.Time) (int, error) {
	txn := platform.Txn{ID: uuid.NewString()}
	for _, key := range groupByKey(rows, now) {
		if !key.expired {
			continue
		}
		for _, row := range key.rows {
			txn.Conditions = append(txn.Conditions, platform.Condition{Key: row.Key, Revision: row.Revision})
			txn.Writes = append(txn.Writes, platform.Write{Key: row.Key, Delete: true})
		}
	}
	if len(txn.Writes) == 0 {
		return 0, nil
	}
	err := c.table.Commit(ctx, txn)
	if errors.Is(err, platform.ErrAmbiguous) {
		// A later sweep reads the rows that are left.
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return len(txn.Writes), nil
}

// groupByKey groups the rows of a page, which are sorted, by idempotency key.
func groupByKey(rows []platform.Row, now time.Time) []sweptKey {
	var keys []sweptKey
	previous := ""
	for _, row := range rows {
		prefix := row.Key[:strings.LastIndexByte(row.Key, '/')]
		if prefix != previous {
			keys = append(keys, sweptKey{expired: true})
			previous = prefix
		}
		key := &keys[len(keys)-1]
		key.rows = append(key.rows, row)
		key.expired = key.expired && expired(row, now)
	}
	return keys
}

// expired reports whether the row may be deleted. It returns false for rows that it
// can't decode, as deleting such a row could make its key usable again.
func expired(row platform.Row, now time.Time) bool {
	var record struct {
		KeepUntil time.Time `json:"keepUntil"`
	}
	if err := json.Unmarshal(row.Value, &record); err != nil || record.KeepUntil.IsZero() {
		return false
	}
	return now.After(record.KeepUntil)
}
