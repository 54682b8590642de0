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

// fakeTable is a transactional table in memory with faults to order.
type fakeTable struct {
	mu       sync.Mutex // guards the fields below
	rows     map[string]platform.Row
	revision uint64
	out      bool
	// fault decides what becomes of the next commits; nil answers them all.
	fault func(platform.Txn) fault
	// onCommit runs before a commit arrives, without the lock.
	onCommit func(platform.Txn)
	// pause runs on the way to the table and on the way back, without the lock.
	pause func()
	// lenient takes transactions that a real client refuses as unsafe.
	lenient bool
	// delayed are transactions whose copies wait for release.
	delayed []platform.Txn
	commits int
}

// fault is what happens to one commit.
type fault uint8

const (
	noFault fault = iota
	// loseAnswer applies the transaction and loses the answer.
	loseAnswer
	// loseRequest loses the transaction; the writer can't tell it from loseAnswer.
	loseRequest
	// delayRequest keeps the transaction for release.
	delayRequest
)

func newFakeTable() *fakeTable { return &fakeTable{rows: map[string]platform.Row{}} }

func (t *fakeTable) Commit(ctx context.Context, txn platform.Txn) error {
	if t.onCommit != nil {
		t.onCommit(txn)
	}
	defer t.travel()()
	t.mu.Lock()
	defer t.mu.Unlock()
	if ctx.Err() != nil {
		return errors.Mark(ctx.Err(), platform.ErrUnavailable)
	}
	t.commits++
	if err := txn.Validate(); err != nil && !t.lenient {
		return err
	}
	if t.out {
		return errors.Mark(errors.New("table is out"), platform.ErrUnavailable)
	}
	lost := errors.Mark(errors.New("answer lost"), platform.ErrAmbiguous)
	what := noFault
	if t.fault != nil {
		what = t.fault(txn)
	}
	switch what {
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

// release lets the delayed transactions arrive and returns their answers.
func (t *fakeTable) release() []error {
	t.mu.Lock()
	defer t.mu.Unlock()
	var answers []error
	for _, txn := range t.delayed {
		answers = append(answers, t.apply(txn))
	}
	t.delayed = nil
	return answers
}

func (t *fakeTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	defer t.travel()()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.out || ctx.Err() != nil {
		return nil, errors.Mark(errors.New("table is out"), platform.ErrUnavailable)
	}
	var rows []platform.Row
	for _, key := range keys {
		row := t.rows[key]
		row.Key = key
		rows = append(rows, row)
	}
	return rows, nil
}

func (t *fakeTable) Scan(ctx context.Context, from, to string, limit int) ([]platform.Row, error) {
	defer t.travel()()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.out || ctx.Err() != nil {
		return nil, errors.Mark(errors.New("table is out"), platform.ErrUnavailable)
	}
	var rows []platform.Row
	for _, key := range slices.Sorted(maps.Keys(t.rows)) {
		if from <= key && key < to && len(rows) < limit {
			rows = append(rows, t.rows[key])
		}
	}
	return rows, nil
}

// travel pauses and returns the pause on the way back.
func (t *fakeTable) travel() func() {
	if t.pause == nil {
		return func() {}
	}
	t.pause()
	return t.pause
}

func (t *fakeTable) set(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f()
}

func (t *fakeTable) setOut(out bool) { t.set(func() { t.out = out }) }

func (t *fakeTable) setFault(f func(platform.Txn) fault) { t.set(func() { t.fault = f }) }

// once returns a fault for the first commit alone.
func once(f fault) func(platform.Txn) fault {
	used := false
	return func(platform.Txn) fault {
		if used {
			return noFault
		}
		used = true
		return f
	}
}

// sometimes loses or delays one answer or request in two, by a fixed seed, and
// takes the table out right after some of them.
func (t *fakeTable) sometimes(seed uint64) func(platform.Txn) fault {
	random := rand.New(rand.NewPCG(seed, seed))
	return func(platform.Txn) fault {
		what := fault(random.IntN(6))
		if what > delayRequest {
			return noFault
		}
		if what != noFault && random.IntN(3) == 0 {
			t.out = true
		}
		return what
	}
}

// fakeObjects is an object store in memory.
type fakeObjects struct {
	mu      sync.Mutex // guards the fields below
	objects map[string][]byte
	// onFetch runs before an object is read, without the lock.
	onFetch func(name string)
	// corrupt damages what is put.
	corrupt bool
}

func newFakeObjects() *fakeObjects { return &fakeObjects{objects: map[string][]byte{}} }

func (o *fakeObjects) Put(_ context.Context, name string, body []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.objects[name] = slices.Clone(body)
	if o.corrupt {
		o.objects[name][len(body)/2] ^= 1
	}
	return nil
}

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

func (o *fakeObjects) Delete(_ context.Context, name string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.objects, name)
	return nil
}

// damage changes every object that is kept.
func (o *fakeObjects) damage() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name := range o.objects {
		o.objects[name] = []byte("damaged")
	}
}

// lose drops every object.
func (o *fakeObjects) lose() {
	o.mu.Lock()
	defer o.mu.Unlock()
	clear(o.objects)
}
