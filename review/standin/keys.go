package main

import (
	"fmt"
	"net/http"
	"time"

	"geraniumcroft/platform"
	"geraniumcroft/platform/fake"
)

const (
	// tenants is the number of tenants of a small deployment, keysPerTenant how many keys each has.
	tenants       = 10
	keysPerTenant = 2
	// revokedAtOnce is how many keys one version takes away, revokePause the time between two versions.
	revokedAtOnce = 3
	revokePause   = 300 * time.Millisecond
	// revokeBound is the longer bound on keys that are taken away, revoke_ms.
	revokeBound = 5 * time.Second
	// keyRounds is how often each machine gets a request with each kind of key.
	keyRounds  = 10
	unknownKey = "key-that-nobody-ever-held"
)

// keyConfig is the desired state with the given number of keys left, dealt out to all tenants in turn.
func keyConfig(version, left int) map[string]any {
	config := deskConfig(version)
	var all []any
	for t := range tenants {
		var keys []string
		for k := range keysPerTenant {
			if n := k*tenants + t; n < left {
				keys = append(keys, heldKey(n))
			}
		}
		all = append(all, tenant(fmt.Sprint("tenant-", t), keys...))
	}
	config["tenants"] = all
	return config
}

func heldKey(n int) string { return fmt.Sprint("key-", n) }

// runKeys takes keys away, version by version, until no tenant has one. Without the disruption one key stays.
func runKeys(r *run) (bool, error) {
	store := fake.NewStore()
	defer store.Close()
	left, version := tenants*keysPerTenant, 1
	store.Put(platform.OperatorTable, "config", keyConfig(version, left))
	replicas := plainReplicas(store, fake.PlainService, "desk-1", "desk-2", "desk-3")
	for _, p := range replicas {
		defer p.Close()
	}
	fleet, err := newFleet(r, store.Address(), siteZones)
	if err != nil {
		return false, err
	}
	defer fleet.close()
	if err := fleet.waitReady(); err != nil {
		return false, err
	}
	for _, m := range fleet.machines {
		if status := callWithKey(m, "before", heldKey(0), 0); status != http.StatusOK {
			return false, fmt.Errorf("%s answers %d to a key that is held", m.name, status)
		}
	}
	stay := 0
	if !r.trouble {
		stay = 1
	}
	for left > stay {
		left, version = max(stay, left-revokedAtOnce), version+1
		store.Put(platform.OperatorTable, "config", keyConfig(version, left))
		r.note("the store acknowledges version %d with %d keys of %d tenants", version, left, tenants)
		time.Sleep(revokePause)
	}
	time.Sleep(configApply + revokeBound)
	return judgeRuns(r, fleet, replicas), nil
}

// judgeRuns sends requests that no desired state in force allows, and reports whether none ran.
func judgeRuns(r *run, f *fleet, replicas []*fake.Replica) bool {
	sent := map[string]string{}
	for round := range keyRounds {
		for _, m := range f.machines {
			for kind, key := range map[string]string{"revoked": heldKey(tenants*keysPerTenant - 1), "unknown": unknownKey, "none": ""} {
				id := fmt.Sprintf("%s-%s-%d", kind, m.name, round)
				status := callWithKey(m, kind, key, round)
				r.note("%s answers %d to a request with key %q (%s)", m.name, status, key, kind)
				sent[id] = kind
			}
		}
	}
	broken := map[string]int{}
	for id, run := range ran(replicas) {
		if kind, ok := sent[id]; ok {
			broken[kind]++
			r.note("ROUTE: %s ran, for tenant %q", id, run.Workspace)
		}
	}
	r.note("requests that ran: %d with a revoked key, %d with a key that was never held, %d without a key", broken["revoked"], broken["unknown"], broken["none"])
	fmt.Printf("requests that ran without a valid key: %v\n", broken)
	return len(broken) == 0
}

func callWithKey(m *machine, kind, key string, round int) int {
	return call(m, sending{
		id: fmt.Sprintf("%s-%s-%d", kind, m.name, round), method: http.MethodPost, path: fake.ConfirmPath + "a", key: key, timeLimit: callLimit, body: []byte("confirm"),
	})
}
