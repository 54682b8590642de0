package confstore

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/platform"
)

// fakeTable is an in-memory transactional table with configurable faults.
type fakeTable struct {
	mu          sync.Mutex // guards the fields below
	rows        map[string]platform.Row
	revision    uint64
	unavailable bool
	// fault returns the fault of each commit. If it is nil, no commit has a fault.
	fault func(platform.Txn) fault
	// onCommit is called before a commit arrives, without the lock held.
	onCommit func(platform.Txn)
	// pause simulates the network latency. It is called before and after each operation,
	// without the lock held.
	pause func()
	// skipValidation accepts transactions that a real client refuses as invalid.
	skipValidation bool
	// delayed holds the transactions that applyDelayed applies.
	delayed []platform.Txn
	commits int
}

// fault is a fault of one commit.
type fault uint8

const (
	noFault fault = iota
	// loseAnswer applies the transaction and loses the response.
	loseAnswer
	// loseRequest loses the transaction. The caller can't distinguish this from loseAnswer.
	loseRequest
	// delayRequest delays the transaction until applyDelayed is called.
	delayRequest
)

// newFakeTable returns an empty table.
func newFakeTable() *fakeTable { return &fakeTable{rows: map[string]platform.Row{}} }

// Commit implements platform.Table.
func (t *fakeTable) Commit(ctx context.Context, txn platform.Txn) error {
	if t.onCommit != nil {
		t.onCommit(txn)
	}
	defer t.networkDelay()()
	t.mu.Lock()
	defer t.mu.Unlock()
	if ctx.Err() != nil {
		return errors.Mark(ctx.Err(), platform.ErrUnavailable)
	}
	t.commits++
	if err := txn.Validate(); err != nil && !t.skipValidation {
		return err
	}
	if t.unavailable {
		return errors.Mark(errors.New("table is unavailable"), platform.ErrUnavailable)
	}
	lost := errors.Mark(errors.New("response lost"), platform.ErrAmbiguous)
	injected := noFault
	if t.fault != nil {
		injected = t.fault(txn)
	}
	switch injected {
	case loseAnswer:
		_ = t.apply(txn)
		return lost
	case loseRequest:
		return lost
	case delayRequest:
		t.delayed = append(t.delayed, txn)
		return lost
	}
	return t.apply(txn)
}

// apply applies the transaction if its conditions hold. The lock is held.
func (t *fakeTable) apply(txn platform.Txn) error {
	var refused platform.RefusedError
	for _, c := range txn.Conditions {
		if row := t.rows[c.Key]; row.Revision != c.Revision {
			refused.Rows = append(refused.Rows, platform.Row{Key: c.Key, Value: row.Value, Revision: row.Revision})
		}
	}
	if len(refused.Rows) > 0 {
		return &refused
	}
	t.revision++
	for _, w := range txn.Writes {
		if w.Delete {
			delete(t.rows, w.Key)
			continue
		}
		t.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Revision: t.revision, TxnID: txn.ID}
	}
	return nil
}

// applyDelayed applies the delayed transactions and returns their results.
func (t *fakeTable) applyDelayed() []error {
	t.mu.Lock()
	defer t.mu.Unlock()
	var results []error
	for _, txn := range t.delayed {
		results = append(results, t.apply(txn))
	}
	t.delayed = nil
	return results
}

// Get implements platform.Table.
func (t *fakeTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	defer t.networkDelay()()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unavailable || ctx.Err() != nil {
		return nil, errors.Mark(errors.New("table is unavailable"), platform.ErrUnavailable)
	}
	var rows []platform.Row
	for _, key := range keys {
		row := t.rows[key]
		row.Key = key
		rows = append(rows, row)
	}
	return rows, nil
}

// Scan implements platform.Table.
func (t *fakeTable) Scan(ctx context.Context, from, to string, limit int) ([]platform.Row, error) {
	defer t.networkDelay()()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unavailable || ctx.Err() != nil {
		return nil, errors.Mark(errors.New("table is unavailable"), platform.ErrUnavailable)
	}
	var rows []platform.Row
	for _, key := range slices.Sorted(maps.Keys(t.rows)) {
		if from <= key && key < to && len(rows) < limit {
			rows = append(rows, t.rows[key])
		}
	}
	return rows, nil
}

// networkDelay pauses for the way to the table and returns the pause for the way back.
func (t *fakeTable) networkDelay() func() {
	if t.pause == nil {
		return func() {}
	}
	t.pause()
	return t.pause
}

// withLock calls f with the lock held.
func (t *fakeTable) withLock(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f()
}

// setUnavailable starts or ends an outage of the table.
func (t *fakeTable) setUnavailable(unavailable bool) {
	t.withLock(func() { t.unavailable = unavailable })
}

// setFault sets the function that returns the fault of each commit.
func (t *fakeTable) setFault(f func(platform.Txn) fault) { t.withLock(func() { t.fault = f }) }

// firstCommit returns a function that returns the fault for the first commit only.
func firstCommit(f fault) func(platform.Txn) fault {
	used := false
	return func(platform.Txn) fault {
		if used {
			return noFault
		}
		used = true
		return f
	}
}

// randomFaults returns a function that loses or delays half of the responses or requests,
// chosen with a fixed seed. After some of these the table becomes unavailable.
func (t *fakeTable) randomFaults(seed uint64) func(platform.Txn) fault {
	random := rand.New(rand.NewPCG(seed, seed))
	return func(platform.Txn) fault {
		injected := fault(random.IntN(6))
		if injected > delayRequest {
			return noFault
		}
		if injected != noFault && random.IntN(3) == 0 {
			t.unavailable = true
		}
		return injected
	}
}

// fakeObjects is an in-memory object store.
type fakeObjects struct {
	mu      sync.Mutex // guards the fields below
	objects map[string][]byte
	// onFetch is called before an object is read, without the lock held.
	onFetch func(name string)
	// corrupt damages the objects that are put.
	corrupt bool
}

// newFakeObjects returns an empty object store.
func newFakeObjects() *fakeObjects { return &fakeObjects{objects: map[string][]byte{}} }

// Put implements platform.Objects.
func (o *fakeObjects) Put(_ context.Context, name string, body []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.objects[name] = slices.Clone(body)
	if o.corrupt {
		o.objects[name][len(body)/2] ^= 1
	}
	return nil
}

// Fetch implements platform.Objects.
func (o *fakeObjects) Fetch(_ context.Context, name string) ([]byte, error) {
	if o.onFetch != nil {
		o.onFetch(name)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	body, ok := o.objects[name]
	if !ok {
		return nil, errors.Mark(errors.Newf("no object %s", name), platform.ErrNotFound)
	}
	return body, nil
}

// Delete implements ObjectDeleter.
func (o *fakeObjects) Delete(_ context.Context, name string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.objects, name)
	return nil
}

// damageAll replaces the content of all objects.
func (o *fakeObjects) damageAll() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name := range o.objects {
		o.objects[name] = []byte("damaged")
	}
}

// deleteAll deletes all objects.
func (o *fakeObjects) deleteAll() {
	o.mu.Lock()
	defer o.mu.Unlock()
	clear(o.objects)
}
