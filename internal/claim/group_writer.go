package claim

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/platform"
)

// errQueueFull is the cause of a failed write when too many rows wait for a group.
var errQueueFull = errors.New("too many claims wait for the table")

// groupWriter writes many rows in one transaction. The rows succeed or fail
// independently: refused rows are removed from the group and the rest is sent again.
type groupWriter struct {
	table    platform.Table
	settings Settings

	mu    sync.Mutex // guards the fields below
	queue []*pendingRow
	// collecting is true while a group collects rows and waits to be sent.
	collecting bool
	// sending is the number of groups in flight.
	sending int
	// groups and rows count the groups formed so far and the rows in them.
	groups uint64
	rows   uint64
}

// newGroupWriter returns a writer with an empty queue. The settings have their defaults.
func newGroupWriter(table platform.Table, settings Settings) *groupWriter {
	return &groupWriter{table: table, settings: settings}
}

// write implements writer.
func (w *groupWriter) write(ctx context.Context, row newRow) error {
	if !healthy(w.table) {
		return &platform.UnavailableError{Operation: "claim", Cause: errTableUnavailable}
	}
	pending := &pendingRow{newRow: row, urgency: urgencyOf(ctx), done: make(chan error, 1)}
	if !w.enqueue(pending) {
		return &platform.UnavailableError{Operation: "claim", Cause: errQueueFull}
	}
	select {
	case err := <-pending.done:
		return err
	case <-ctx.Done():
		return w.abandon(ctx, pending)
	}
}

// enqueue adds the row to the queue. It returns false if the queue is full for the
// row's urgency.
func (w *groupWriter) enqueue(pending *pendingRow) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) >= w.queueLimit(pending.urgency) {
		return false
	}
	w.queue = slices.Insert(w.queue, w.insertIndex(pending.urgency), pending)
	w.startGroup()
	return true
}

// queueLimit returns the queue length from which on rows of the urgency are refused.
// The last quarter of the queue is reserved for urgent rows, so that a burst of other
// rows does not cause urgent ones to be refused.
func (w *groupWriter) queueLimit(urgency config.Urgency) int {
	if urgency == config.Urgent {
		return w.settings.MaxQueued
	}
	return w.settings.MaxQueued - w.settings.MaxQueued/4
}

// insertIndex returns the index in the queue behind all rows that are at least as
// urgent. The mutex is held.
func (w *groupWriter) insertIndex(urgency config.Urgency) int {
	at := len(w.queue)
	for at > 0 && w.queue[at-1].urgency < urgency {
		at--
	}
	return at
}

// abandon is called when the context of a waiting row has ended. A row that is still
// in the queue is removed and never sent. A row in a group may still be written, so
// its result is ambiguous.
func (w *groupWriter) abandon(ctx context.Context, pending *pendingRow) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if at := slices.Index(w.queue, pending); at >= 0 {
		w.queue = slices.Delete(w.queue, at, at+1)
		return &platform.UnavailableError{Operation: "claim", Cause: ctx.Err()}
	}
	return &platform.AmbiguousError{Cause: ctx.Err()}
}

// startGroup starts the next group unless the queue is empty, a group is already
// collecting, or Settings.MaxInFlight groups are in flight. The mutex is held.
func (w *groupWriter) startGroup() {
	if len(w.queue) == 0 || w.collecting || w.sending >= w.settings.MaxInFlight {
		return
	}
	w.collecting = true
	go w.run()
}

// run collects and sends one group.
//
// The group is formed only when the table's rate limit permits its transaction. If it
// were formed earlier, it would wait for the permit while later claims formed further
// groups behind it, and each claim would wait for several permits instead of one.
func (w *groupWriter) run() {
	ctx := platform.WithRateClass(context.Background(), platform.RateClassUrgent)
	ctx, cancel := context.WithTimeout(ctx, w.settings.Timeout)
	defer cancel()
	if w.settings.Linger > 0 {
		time.Sleep(w.settings.Linger)
	}
	ctx, err := reserveWrite(ctx, w.table)
	group := w.takeGroup()
	if err != nil {
		resolveAll(group, err)
	} else {
		w.send(ctx, group)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sending--
	w.startGroup()
}

// reserveWrite waits until the table's rate limit permits one write, if the table has
// a rate limit. The returned context carries the permit.
func reserveWrite(ctx context.Context, table platform.Table) (context.Context, error) {
	reserver, ok := table.(platform.WriteReserver)
	if !ok {
		return ctx, nil
	}
	return reserver.ReserveWrite(ctx)
}

// takeGroup removes the next group from the queue and starts the group after it.
//
// A row key occurs at most once in a group. Two creations of the same row in one
// transaction would both meet their condition, both writers would own the key, and its
// request would run twice. The second creation stays in the queue for a later group and
// is refused there.
func (w *groupWriter) takeGroup() []*pendingRow {
	w.mu.Lock()
	defer w.mu.Unlock()
	var group, deferred []*pendingRow
	keys := map[string]bool{}
	size := 0
	for _, pending := range w.queue {
		full := len(group) == w.settings.MaxGroup || size+len(pending.value) > w.settings.MaxGroupBytes
		if keys[pending.key] || (full && len(group) > 0) {
			deferred = append(deferred, pending)
			continue
		}
		keys[pending.key] = true
		size += len(pending.value)
		group = append(group, pending)
	}
	w.queue = deferred
	w.collecting = false
	w.sending++
	w.groups++
	w.rows += uint64(len(group))
	w.startGroup()
	return group
}

// send commits the group. If rows are refused, it commits the others again without
// them. Each round resolves at least one row, so there are at most as many rounds as
// rows.
func (w *groupWriter) send(ctx context.Context, group []*pendingRow) {
	for len(group) > 0 {
		err := w.table.Commit(ctx, createTxn(rowsOf(group)))
		var refused *platform.RefusedError
		if !errors.As(err, &refused) {
			resolveAll(group, err)
			return
		}
		rest := resolveRefused(group, refused)
		if len(rest) == len(group) {
			resolveAll(group, err)
			return
		}
		group = rest
	}
}
