package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// run is one run of a case, with its record.
type run struct {
	// trouble is set unless the case runs without its disruption.
	trouble bool
	began   time.Time

	mu     sync.Mutex // guards the fields below
	record *os.File
	// processes are all that were started.
	processes []*os.Process
}

func newRun(path string) (*run, error) {
	record, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	r := &run{trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record}
	r.note("trouble: %v", r.trouble)
	return r, nil
}

// note writes a line with the time since the begin to the record.
func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// started adds a process to those that killAll ends.
func (r *run) started(p *os.Process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.processes = append(r.processes, p)
}

// killAll ends all processes that were started and still run.
func (r *run) killAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.processes {
		_ = p.Kill() // it has ended and was waited for, or is killed
	}
}

func (r *run) close() { _ = r.record.Close() }
