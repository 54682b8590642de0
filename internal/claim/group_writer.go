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

// errQueueFull is the cause when too many claims wait.
var errQueueFull = errors.New("too many claims wait for the table")

// groupWriter writes many rows in one transaction. Each row stands for itself: one
// that is refused is taken out and the rest are sent again.
type groupWriter struct {
	table    platform.Table
	settings Settings

	mu    sync.Mutex // guards the fields below
	queue []*pendingRow
	// collecting says that the next group is waiting for more rows.
	collecting bool
	// sending counts the groups under way.
	sending int
	// groups and rows count what was formed.
	groups uint64
	rows   uint64
}

func newGroupWriter(table platform.Table, settings Settings) *groupWriter {
	return &groupWriter{table: table, settings: settings}
}

func (w *groupWriter) write(ctx context.Context, row newRow) error {
	if !healthy(w.table) {
		return &platform.UnavailableError{Operation: "claim", Cause: errTableOut}
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

func (w *groupWriter) enqueue(pending *pendingRow) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) >= w.room(pending.urgency) {
		return false
	}
	w.queue = slices.Insert(w.queue, w.place(pending.urgency), pending)
	w.collect()
	return true
}

// room keeps the last quarter of the queue for urgent rows, so that a flood of others
// cannot have them refused.
func (w *groupWriter) room(urgency config.Urgency) int {
	if urgency == config.Urgent {
		return w.settings.MaxQueued
	}
	return w.settings.MaxQueued - w.settings.MaxQueued/4
}

// place is behind all rows that are at least as urgent.
func (w *groupWriter) place(urgency config.Urgency) int {
	at := len(w.queue)
	for at > 0 && w.queue[at-1].urgency < urgency {
		at--
	}
	return at
}

// abandon gives up a row. One that no group has taken was not and will not be sent;
// any other may be written yet.
func (w *groupWriter) abandon(ctx context.Context, pending *pendingRow) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if at := slices.Index(w.queue, pending); at >= 0 {
		w.queue = slices.Delete(w.queue, at, at+1)
		return &platform.UnavailableError{Operation: "claim", Cause: ctx.Err()}
	}
	return &platform.AmbiguousError{Cause: ctx.Err()}
}

// collect starts the next group unless one is collecting or too many are under
// way. The mutex is held.
func (w *groupWriter) collect() {
	if len(w.queue) == 0 || w.collecting || w.sending >= w.settings.MaxInFlight {
		return
	}
	w.collecting = true
	go w.run()
}

// run collects and sends one group.
//
// The group is formed at the last moment, when the table's rate budget lets it be
// sent. Formed before, it would wait for its turn while later claims formed groups of
// their own behind it, and each claim would wait for several turns in place of one.
func (w *groupWriter) run() {
	ctx := platform.WithRateClass(context.Background(), platform.RateClassUrgent)
	ctx, cancel := context.WithTimeout(ctx, w.settings.Timeout)
	defer cancel()
	if w.settings.Linger > 0 {
		time.Sleep(w.settings.Linger)
	}
	ctx, err := takeTurn(ctx, w.table)
	group := w.take()
	if err != nil {
		finish(group, err)
	} else {
		w.send(ctx, group)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sending--
	w.collect()
}

func takeTurn(ctx context.Context, table platform.Table) (context.Context, error) {
	taker, ok := table.(platform.WriteReserver)
	if !ok {
		return ctx, nil
	}
	return taker.ReserveWrite(ctx)
}

// take removes the next group from the queue, and lets the one after it collect.
//
// A key stands in a group only once: two creations of one row hold each other's
// condition within a transaction, both would be told that they won, and the key's
// request would run twice. The second waits for a later group and is refused there.
func (w *groupWriter) take() []*pendingRow {
	w.mu.Lock()
	defer w.mu.Unlock()
	var group, left []*pendingRow
	keys := map[string]bool{}
	size := 0
	for _, pending := range w.queue {
		full := len(group) == w.settings.MaxGroup || size+len(pending.value) > w.settings.MaxGroupBytes
		if keys[pending.key] || (full && len(group) > 0) {
			left = append(left, pending)
			continue
		}
		keys[pending.key] = true
		size += len(pending.value)
		group = append(group, pending)
	}
	w.queue = left
	w.collecting = false
	w.sending++
	w.groups++
	w.rows += uint64(len(group))
	w.collect()
	return group
}

// send commits the group, without the rows that are refused. Each round ends at
// least one row, so the rounds are bounded by the group's size.
func (w *groupWriter) send(ctx context.Context, group []*pendingRow) {
	for len(group) > 0 {
		err := w.table.Commit(ctx, createTxn(rowsOf(group)))
		var refused *platform.RefusedError
		if !errors.As(err, &refused) {
			finish(group, err)
			return
		}
		rest := dropRefused(group, refused)
		if len(rest) == len(group) {
			finish(group, err)
			return
		}
		group = rest
	}
}
