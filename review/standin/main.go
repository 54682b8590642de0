// Command standin runs the cases of the review: it starts the built program as processes of its own, plays
// consumers, replicas and the platform around them, and tells by its exit status whether a rule was broken.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxRunTime bounds a run, which ends as not run after it.
const maxRunTime = 115 * time.Second

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the names of cases to functions that run them. They return whether the rule held.
var cases = map[string]func(*run) (held bool, err error){
	"bodies": runBodies,
	"hangup": runHangup,
	"keys":   runKeys,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitNotRun)
	}
	r, err := newRun(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	go endEarly(r)
	held, err := cases[os.Args[1]](r)
	status := exitHeld
	switch {
	case err != nil:
		r.note("not run: %v", err)
		status = exitNotRun
	case !held:
		status = exitBroken
	}
	r.note("exit status %d", status)
	r.close()
	os.Exit(status)
}

// endEarly ends the run, and all processes that it started, on a signal or when it has taken too long.
func endEarly(r *run) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(maxRunTime):
	}
	r.note("not run: ended early")
	r.killAll()
	os.Exit(exitNotRun)
}
