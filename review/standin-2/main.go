// Command standin-2 plays the cases of the second review. It starts processes of the product and the stand-ins around
// them, and exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// env is what a case runs in.
type env struct {
	program string
	dir     string
	trouble bool
	record  *record
	store   *store
	vms     []*vm
	engines []*engine
}

// startVMs starts the processes of the product.
func (e *env) startVMs(n int, dataCentres []string) ([]*vm, error) {
	vms, err := newVMs(e.dir, e.store.address, n, dataCentres, true)
	if err != nil {
		return nil, err
	}
	for _, v := range vms {
		if err := v.start(e.program); err != nil {
			return nil, err
		}
		e.vms = append(e.vms, v)
		e.record.line("%s started, process %d", v.name, v.process.Process.Pid)
	}
	return vms, nil
}

var cases = map[string]func(*env) (bool, error){
	"late-heartbeat": runLateHeartbeat,
	"foreign-entry":  runForeignEntry,
	"other-part":     runOtherPart,
	"extra-answer":   runExtraAnswer,
	"spoilt-head":    runSpoiltHead,
	"unframed-crash": runUnframedCrash,
}

func main() { os.Exit(run()) }

func run() int {
	const held, broken, notRun = 0, 1, 2
	if len(os.Args) == 6 && os.Args[1] == "engine" { // a process of a case
		return runEngine(os.Args[2], os.Args[3], os.Args[4], os.Args[5])
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE PROGRAM RECORD")
		return notRun
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	program, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs in", dir)
	}
	e := &env{program: program, dir: dir, trouble: os.Getenv("TROUBLE") != "0", record: rec}
	if e.store, err = newStore(ownIP(102) + ":0"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer e.store.close()
	defer func() {
		for _, v := range e.vms {
			v.kill()
		}
		for _, en := range e.engines {
			en.kill()
		}
	}()
	isBroken, err := cases[os.Args[1]](e)
	switch {
	case err != nil:
		rec.summary("the case could not run: %v", err)
		return notRun
	case isBroken:
		rec.summary("the rule was broken")
		return broken
	}
	rec.summary("the rule held")
	return held
}
