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

// Sweep reads up to limit rows, from where the last sweep stopped, and deletes those
// of keys that need not be remembered any longer. The holder of a lease calls it.
func (c *Claims) Sweep(ctx context.Context, now time.Time, limit int) (SweepResult, error) {
	c.cursor.mu.Lock()
	defer c.cursor.mu.Unlock()
	// A key has two rows; fewer could never be read together.
	limit = max(limit, 2)
	rows, err := c.table.Scan(ctx, max(c.cursor.from, rowPrefix), rowPrefixEnd, limit)
	if err != nil {
		return SweepResult{}, err
	}
	result := SweepResult{Scanned: len(rows), Wrapped: len(rows) < limit}
	rows, next := wholeKeys(rows, result.Wrapped)
	result.Deleted, err = c.deleteExpired(ctx, rows, now)
	if err != nil {
		return result, err
	}
	c.cursor.from = next
	c.counters.swept.Add(uint64(result.Deleted))
	return result, nil
}

// wholeKeys leaves out a claim row at the end of a page, whose end row may be on the
// next, and returns where the next page starts.
func wholeKeys(rows []platform.Row, last bool) ([]platform.Row, string) {
	if last || len(rows) == 0 {
		return rows, ""
	}
	final := rows[len(rows)-1].Key
	if strings.HasSuffix(final, claimSuffix) {
		return rows[:len(rows)-1], final
	}
	return rows, final + "\x00"
}

func (c *Claims) deleteExpired(ctx context.Context, rows []platform.Row, now time.Time) (int, error) {
	txn := platform.Txn{ID: uuid.NewString()}
	for _, key := range byKey(rows, now) {
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
		// Whatever is left is read again by a later sweep.
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return len(txn.Writes), nil
}

// byKey groups the rows of a page, which are in order, by their key.
func byKey(rows []platform.Row, now time.Time) []sweptKey {
	var keys []sweptKey
	previous := ""
	for _, row := range rows {
		base := row.Key[:strings.LastIndexByte(row.Key, '/')]
		if base != previous {
			keys = append(keys, sweptKey{expired: true})
			previous = base
		}
		key := &keys[len(keys)-1]
		key.rows = append(key.rows, row)
		key.expired = key.expired && expired(row, now)
	}
	return keys
}

// expired keeps rows that it cannot read: deleting one would free a key.
func expired(row platform.Row, now time.Time) bool {
	var kept struct {
		KeepUntil time.Time `json:"keepUntil"`
	}
	if err := json.Unmarshal(row.Value, &kept); err != nil || kept.KeepUntil.IsZero() {
		return false
	}
	return now.After(kept.KeepUntil)
}
