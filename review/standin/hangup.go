package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"geraniumcroft/platform"
	"geraniumcroft/platform/fake"
)

const (
	// settleTime is how long the machines run before anything happens: the list of machines is complete by then.
	settleTime = 15 * time.Second
	// pairs is how often the operator writes two versions, pairPause the time between these, and pairInterval
	// that between two pairs.
	pairs        = 6
	pairPause    = 200 * time.Millisecond
	pairInterval = 7 * time.Second
	// checkInterval is the time between two requests with a revoked key at one machine, checkTime how long
	// they go on after each pair.
	checkInterval = 40 * time.Millisecond
	checkTime     = 3 * time.Second

	keptKey = "key-that-stays"
)

// grownZones are the zones of a small deployment with its spare machines: two, three and four.
var grownZones = []string{"hall-c", "hall-c", "hall-b", "hall-b", "hall-b", "hall-a", "hall-a", "hall-a", "hall-a"}

// hangupZone is the zone of the machines that get SIGHUP, four of nine.
const hangupZone = "hall-a"

// keyCheck is one request with a key that was taken away.
type keyCheck struct {
	id      string
	machine *machine
	after   time.Duration // the acknowledgement of the version without the key
	status  int
}

// runHangup sends SIGHUP to the machines of one zone, whose settings name seeds that are down. Later the operator takes
// keys away, twice in quick succession.
func runHangup(r *run) (bool, error) {
	store := fake.NewStore()
	defer store.Close()
	keys := []string{keptKey}
	for i := range 2 * pairs {
		keys = append(keys, fmt.Sprint("key-that-goes-", i))
	}
	version := 1
	put := func() {
		config := deskConfig(version)
		config["tenants"] = []any{tenant("crew", keys...)}
		store.Put(platform.OperatorTable, "config", config)
		version++
	}
	put()
	replicas := plainReplicas(store, fake.PlainService, "desk-1", "desk-2", "desk-3")
	for _, p := range replicas {
		defer p.Close()
	}
	group, stop := fake.NewGroup(20, 40*time.Millisecond), make(chan struct{})
	defer close(stop)
	for _, e := range engines(r, store, group, stop) {
		defer e.Close()
	}
	stale, err := freeAddresses("127.0.0.1", 3)
	if err != nil {
		return false, err
	}
	fleet, err := newFleetWith(r, grownZones, store.Address(), stale)
	if err != nil {
		return false, err
	}
	defer fleet.close()
	if err := fleet.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	var checked []*machine
	for _, m := range fleet.machines {
		if m.zone != hangupZone {
			continue
		}
		checked = append(checked, m)
		if r.trouble {
			m.signal(syscall.SIGHUP)
			r.note("disruption: SIGHUP to %s; its settings name the seeds %v, which are down", m.name, stale)
		}
	}
	time.Sleep(pairInterval)

	var mu sync.Mutex // guards checks
	var checks []keyCheck
	var checking sync.WaitGroup
	for range pairs {
		for range 2 {
			gone := keys[len(keys)-1]
			keys = keys[:len(keys)-1]
			put()
			acked := time.Now()
			r.note("the store acknowledges version %d, without %s", version-1, gone)
			for _, m := range checked {
				checking.Go(func() {
					found := checkKey(r, m, gone, acked)
					mu.Lock()
					defer mu.Unlock()
					checks = append(checks, found...)
				})
			}
			time.Sleep(pairPause)
		}
		time.Sleep(pairInterval - 2*pairPause)
	}
	checking.Wait()
	return judgeKeys(r, checks, ran(replicas)), nil
}

// checkKey sends requests with a key to a machine for a time after the key was taken away.
func checkKey(r *run, m *machine, key string, acked time.Time) []keyCheck {
	var checks []keyCheck
	for ; time.Since(acked) < checkTime; time.Sleep(checkInterval) {
		k := keyCheck{id: fmt.Sprintf("%s-%s-%d", m.name, key, time.Now().UnixNano()), machine: m, after: time.Since(acked)}
		k.status = call(m, sending{id: k.id, method: http.MethodPost, path: fake.ConfirmPath + "a", key: key, timeLimit: callLimit, body: []byte("confirm")})
		r.note("%s, %s, %.3f s after the ack: %d", m.name, key, k.after.Seconds(), k.status)
		checks = append(checks, k)
	}
	return checks
}

// judgeKeys reports whether no request with a key ran that was sent later than configApply after the
// acknowledgement of the version without the key.
func judgeKeys(r *run, checks []keyCheck, runs map[string]fake.Run) bool {
	broken := 0
	for _, k := range checks {
		if _, did := runs[k.id]; did && k.after > configApply {
			broken++
			r.note("CONFIG: %s was sent %.3f s after the ack of the version without its key, and ran", k.id, k.after.Seconds())
		}
	}
	r.note("%d of %d requests with a key that was taken away ran later than the bound", broken, len(checks))
	fmt.Printf("requests with a revoked key that ran too late: %d\n", broken)
	return broken == 0
}
