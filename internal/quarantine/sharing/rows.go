package sharing

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"geraniumcroft/internal/platform"
	"geraniumcroft/internal/quarantine"
)

const (
	prefix    = "quarantine/"
	prefixEnd = "quarantine0"
	// maxRows limits the number of rows that are read.
	maxRows = 500
	// maxShared limits the number of requests in rows.shared. The map is cleared when it is full.
	maxShared = 4096
	// rewriteInterval is the age below which the row of a quarantined request is not written again.
	// Several VMs may be about to write the same row.
	rewriteInterval = time.Minute
)

// row is the stored value of one quarantined request.
type row struct {
	Report quarantine.Report `json:"report"`
	// WrittenMS is the time on the table's clock when the row was written, in milliseconds. The times
	// in Report are relative to it.
	WrittenMS int64 `json:"writtenMs"`
}

// rows stores quarantined requests in the platform's table. The row of a request is written by the VMs
// that saw a replica crash while it ran the request. It is safe for concurrent use.
type rows struct {
	table  platform.Table
	logger *zap.Logger

	mu sync.Mutex // guards the fields below
	// shared holds the requests whose changes this VM has offered to peers, and whether they were
	// quarantined then.
	shared map[quarantine.Digest]bool
	// dirty holds the requests whose rows must be written, or deleted if they are not quarantined.
	dirty map[quarantine.Digest]bool
	// written holds the requests whose rows this VM has written or deleted. The map is cleared when it
	// has maxShared requests.
	written map[quarantine.Digest]bool
}

func newRows(table platform.Table, logger *zap.Logger) *rows {
	return &rows{table: table, logger: logger, shared: map[quarantine.Digest]bool{}, dirty: map[quarantine.Digest]bool{}, written: map[quarantine.Digest]bool{}}
}

// markShared records that this VM offers a change of the request to peers. If the request is
// quarantined, or was when it was last offered, its row must be written.
func (r *rows) markShared(d quarantine.Digest, quarantined bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if quarantined || r.shared[d] {
		r.dirty[d] = true
	}
	if len(r.shared) >= maxShared {
		clear(r.shared)
	}
	r.shared[d] = quarantined
}

// updateStatuses schedules the rows of requests that this VM has shared and whose status has changed since. The
// status of a request also changes with the records of others.
func (r *rows) updateStatuses(ledger *quarantine.Ledger, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for d, before := range r.shared {
		if quarantined := ledger.Lookup(d, now).Quarantined; quarantined != before {
			r.shared[d], r.dirty[d] = quarantined, true
		}
	}
}

// markDirty schedules the row of a request to be written, or deleted if the request is not quarantined.
func (r *rows) markDirty(d quarantine.Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dirty[d] = true
}

// markWrittenDirty schedules all rows that this VM has written or deleted to be checked, since the table
// has come back from an older copy.
func (r *rows) markWrittenDirty() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for d := range r.written {
		r.dirty[d] = true
	}
}

func (r *rows) markWritten(d quarantine.Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.written) >= maxShared {
		clear(r.written)
	}
	r.written[d] = true
}

// read returns the reports of all rows, with times relative to now. Rows that cannot be decoded are
// logged and skipped.
func (r *rows) read(ctx context.Context) ([]quarantine.Report, error) {
	found, err := r.table.Scan(ctx, prefix, prefixEnd, maxRows)
	if err != nil {
		return nil, err
	}
	var reports []quarantine.Report
	for _, f := range found {
		var decoded row
		if err := json.Unmarshal(f.Value, &decoded); err != nil {
			r.logger.Warn("failed to decode row of a quarantined request", zap.String("key", f.Key), zap.Error(err))
			continue
		}
		reports = append(reports, decoded.rebase(f.ReadAt))
	}
	return reports, nil
}

// rebase returns the report with times relative to readAt, the time on the table's clock when the row
// was read.
func (r row) rebase(readAt time.Duration) quarantine.Report {
	age := max(0, readAt.Milliseconds()-r.WrittenMS)
	report := r.Report
	report.SeenMS -= age
	report.Crashes = append([]quarantine.Crash(nil), report.Crashes...)
	for i := range report.Crashes {
		report.Crashes[i].AtMS -= age
	}
	return report
}

// write writes or deletes the dirty rows. Rows that fail stay dirty.
func (r *rows) write(ctx context.Context, ledger *quarantine.Ledger) error {
	var failed error
	for _, d := range r.takeDirty() {
		if err := r.writeRow(ctx, ledger, d); err != nil {
			failed = errors.CombineErrors(failed, err)
			r.mu.Lock()
			r.dirty[d] = true
			r.mu.Unlock()
		}
	}
	return failed
}

// takeDirty returns the dirty requests and marks them as clean.
func (r *rows) takeDirty() []quarantine.Digest {
	r.mu.Lock()
	defer r.mu.Unlock()
	var digests []quarantine.Digest
	for d := range r.dirty {
		digests = append(digests, d)
	}
	clear(r.dirty)
	return digests
}

// writeRow writes the row of a request, or deletes it if the request is not quarantined. The write is
// conditional on the revision read before, so that it does not overwrite a concurrent change.
func (r *rows) writeRow(ctx context.Context, ledger *quarantine.Ledger, d quarantine.Digest) error {
	key := prefix + d.String()
	found, err := r.table.Get(ctx, key)
	if err != nil {
		return err
	}
	if len(found) != 1 {
		return errors.Newf("table returned %d rows for one key", len(found))
	}
	write := platform.Write{Key: key, Delete: true}
	now := time.Now()
	reports := ledger.Reports(now, d)
	switch quarantined := len(reports) == 1 && ledger.Lookup(d, now).Quarantined; {
	case quarantined && recentlyWritten(found[0]), !quarantined && found[0].Revision == 0:
		return nil
	case quarantined:
		value, err := json.Marshal(row{Report: reports[0], WrittenMS: found[0].ReadAt.Milliseconds()})
		if err != nil {
			return err
		}
		write = platform.Write{Key: key, Value: value}
	}
	r.markWritten(d)
	return r.table.Commit(ctx, platform.Txn{
		ID: uuid.NewString(), Era: found[0].Era, Conditions: []platform.Condition{{Key: key, Revision: found[0].Revision}}, Writes: []platform.Write{write},
	})
}

// recentlyWritten reports whether a row is younger than rewriteInterval.
func recentlyWritten(found platform.Row) bool {
	var decoded row
	if found.Revision == 0 || json.Unmarshal(found.Value, &decoded) != nil {
		return false
	}
	return found.ReadAt-time.Duration(decoded.WrittenMS)*time.Millisecond < rewriteInterval
}
