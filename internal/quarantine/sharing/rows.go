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
	// maxRows bounds the requests that are read.
	maxRows = 500
	// maxTold bounds the requests of which this VM remembers that it has told others.
	maxTold = 4096
	// rewriteAfter is the age from which a row is written again; several VMs may have the same to
	// write.
	rewriteAfter = time.Minute
)

// row is a request's row in the product's table.
type row struct {
	Report quarantine.Report `json:"report"`
	// WrittenMS is the table's own clock when the row was written, in milliseconds. The report's
	// times count from it.
	WrittenMS int64 `json:"writtenMs"`
}

// rows keeps quarantined requests in the product's table. Of the VMs that know a request, those
// that saw a replica end under it write its row.
type rows struct {
	table  platform.Table
	logger *zap.Logger

	mu sync.Mutex // guards the fields below
	// told are the requests that this VM has told others of, with whether they were quarantined.
	told map[quarantine.Digest]bool
	// due are the requests whose rows are to be written, or removed if they are not quarantined.
	due map[quarantine.Digest]bool
}

func newRows(table platform.Table, logger *zap.Logger) *rows {
	return &rows{table: table, logger: logger, told: map[quarantine.Digest]bool{}, due: map[quarantine.Digest]bool{}}
}

// changed notes that this VM tells others of a request.
func (r *rows) changed(d quarantine.Digest, quarantined bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if quarantined || r.told[d] {
		r.due[d] = true
	}
	if len(r.told) >= maxTold {
		clear(r.told)
	}
	r.told[d] = quarantined
}

// judged notes what others' reports make of a request. The row is this VM's to keep if it saw one
// of the ends.
func (r *rows) judged(d quarantine.Digest, quarantined bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if before, told := r.told[d]; told && before != quarantined {
		r.told[d], r.due[d] = quarantined, true
	}
}

// check has a request's row written, or removed if the request is not quarantined.
func (r *rows) check(d quarantine.Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.due[d] = true
}

// read returns the reports of all rows; their times count from now.
func (r *rows) read(ctx context.Context) ([]quarantine.Report, error) {
	found, err := r.table.Scan(ctx, prefix, prefixEnd, maxRows)
	if err != nil {
		return nil, err
	}
	var reports []quarantine.Report
	for _, f := range found {
		var kept row
		if err := json.Unmarshal(f.Value, &kept); err != nil {
			r.logger.Warn("row of a quarantined request not read", zap.String("key", f.Key), zap.Error(err))
			continue
		}
		reports = append(reports, kept.since(f.ReadAt))
	}
	return reports, nil
}

// since returns the row's report with times that count from when it was read.
func (r row) since(readAt time.Duration) quarantine.Report {
	age := max(0, readAt.Milliseconds()-r.WrittenMS)
	report := r.Report
	report.SeenMS -= age
	report.Crashes = append([]quarantine.Crash(nil), report.Crashes...)
	for i := range report.Crashes {
		report.Crashes[i].AtMS -= age
	}
	return report
}

// write writes the rows that are due.
func (r *rows) write(ctx context.Context, ledger *quarantine.Ledger) error {
	var failed error
	for _, d := range r.takeDue() {
		if err := r.writeOne(ctx, ledger, d); err != nil {
			failed = errors.CombineErrors(failed, err)
			r.mu.Lock()
			r.due[d] = true
			r.mu.Unlock()
		}
	}
	return failed
}

func (r *rows) takeDue() []quarantine.Digest {
	r.mu.Lock()
	defer r.mu.Unlock()
	var digests []quarantine.Digest
	for d := range r.due {
		digests = append(digests, d)
	}
	clear(r.due)
	return digests
}

func (r *rows) writeOne(ctx context.Context, ledger *quarantine.Ledger, d quarantine.Digest) error {
	key := prefix + d.String()
	found, err := r.table.Get(ctx, key)
	if err != nil {
		return err
	}
	if len(found) != 1 {
		return errors.Newf("%d rows for one key", len(found))
	}
	write := platform.Write{Key: key, Delete: true}
	now := time.Now()
	reports := ledger.Reports(now, d)
	switch quarantined := len(reports) == 1 && ledger.Lookup(d, now).Quarantined; {
	case quarantined && youngRow(found[0]), !quarantined && found[0].Revision == 0:
		return nil
	case quarantined:
		value, err := json.Marshal(row{Report: reports[0], WrittenMS: found[0].ReadAt.Milliseconds()})
		if err != nil {
			return err
		}
		write = platform.Write{Key: key, Value: value}
	}
	return r.table.Commit(ctx, platform.Txn{
		ID: uuid.NewString(), Conditions: []platform.Condition{{Key: key, Revision: found[0].Revision}}, Writes: []platform.Write{write},
	})
}

// youngRow reports whether a row was written a moment ago.
func youngRow(found platform.Row) bool {
	var kept row
	if found.Revision == 0 || json.Unmarshal(found.Value, &kept) != nil {
		return false
	}
	return found.ReadAt-time.Duration(kept.WrittenMS)*time.Millisecond < rewriteAfter
}
