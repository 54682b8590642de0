package adminapi

import (
	"bytes"
	"encoding/json"
	"net/http"
	"runtime/pprof"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"
)

// stackDetail merges equal stacks and shows no argument, so no value gets out.
const stackDetail = 1

// dumper runs one dump at a time and bounds the wait for it. A dump that waits
// for a lock which is never released would otherwise hang just when it is needed,
// and each new try would leave one more goroutine behind.
type dumper struct {
	take  func() any
	bound time.Duration

	mu      sync.Mutex // guards the field below
	running *dumpRun
}

func newDumper(take func() any, bound time.Duration) *dumper {
	return &dumper{take: take, bound: bound}
}

// dump returns the dump as JSON, or the stacks when it does not end in time.
func (d *dumper) dump() ([]byte, error) {
	run := d.join()
	timer := time.NewTimer(d.bound)
	defer timer.Stop()
	select {
	case <-run.done:
		return run.body, run.err
	case <-timer.C:
		return json.Marshal(StuckDump{Stuck: true, Since: run.since, Stacks: stacks()})
	}
}

// join returns the dump under way, or starts one.
func (d *dumper) join() *dumpRun {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.running != nil {
		return d.running
	}
	run := &dumpRun{since: time.Now(), done: make(chan struct{})}
	d.running = run
	go d.finish(run)
	return run
}

func (d *dumper) finish(run *dumpRun) {
	run.body, run.err = d.encode()
	d.mu.Lock()
	d.running = nil
	d.mu.Unlock()
	close(run.done)
}

// encode turns a panic into an error. The dump runs in a goroutine of its own, where
// a bug in one part's dump would otherwise end the process with all its requests.
func (d *dumper) encode() (body []byte, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = errors.Newf("the dump panicked: %v", cause)
		}
	}()
	return json.Marshal(d.take())
}

func stacks() string {
	var text bytes.Buffer
	_ = pprof.Lookup("goroutine").WriteTo(&text, stackDetail)
	return text.String()
}

func (a *API) dump(ctx iris.Context) {
	body, err := a.dumper.dump()
	if err != nil {
		a.failInternal(ctx, err)
		return
	}
	writer := ctx.ResponseWriter()
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(http.StatusOK)
	_, _ = writer.Write(body)
}
