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

// goroutineProfileDebug is the debug level of the goroutine profile that merges equal
// stacks and omits arguments, so that no secret is disclosed.
const goroutineProfileDebug = 1

// dumper runs one dump at a time and limits the wait for it. Without the limit, a
// dump that waits for a lock that is never released would hang when it is needed
// most. Without sharing a run, each further request would leak a goroutine.
type dumper struct {
	collect func() any
	timeout time.Duration

	mu      sync.Mutex // guards the field below
	current *dumpRun
}

func newDumper(collect func() any, timeout time.Duration) *dumper {
	return &dumper{collect: collect, timeout: timeout}
}

// dump returns the dump as JSON, or a StuckDump if it does not finish in time.
func (d *dumper) dump() ([]byte, error) {
	run := d.startOrJoin()
	timer := time.NewTimer(d.timeout)
	defer timer.Stop()
	select {
	case <-run.done:
		return run.body, run.err
	case <-timer.C:
		return json.Marshal(StuckDump{Stuck: true, Since: run.startedAt, Stacks: goroutineStacks()})
	}
}

// startOrJoin returns the run in progress, or starts one.
func (d *dumper) startOrJoin() *dumpRun {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current != nil {
		return d.current
	}
	run := &dumpRun{startedAt: time.Now(), done: make(chan struct{})}
	d.current = run
	go d.execute(run)
	return run
}

// execute collects the dump and completes the run.
func (d *dumper) execute(run *dumpRun) {
	run.body, run.err = d.encode()
	d.mu.Lock()
	d.current = nil
	d.mu.Unlock()
	close(run.done)
}

// encode collects the dump and encodes it. It returns a panic as an error: the dump
// runs in its own goroutine, where a panic in one component's dump would otherwise
// end the process and all requests in progress.
func (d *dumper) encode() (body []byte, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = errors.Newf("the dump panicked: %v", cause)
		}
	}()
	return json.Marshal(d.collect())
}

// goroutineStacks returns the stacks of all goroutines.
func goroutineStacks() string {
	var text bytes.Buffer
	_ = pprof.Lookup("goroutine").WriteTo(&text, goroutineProfileDebug)
	return text.String()
}

func (a *API) serveDump(ctx iris.Context) {
	body, err := a.dumper.dump()
	if err != nil {
		a.writeInternalError(ctx, err)
		return
	}
	writer := ctx.ResponseWriter()
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(http.StatusOK)
	_, _ = writer.Write(body)
}
