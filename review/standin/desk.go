package main

import (
	"fmt"
	"time"

	"geraniumcroft/platform"
	"geraniumcroft/platform/fake"
)

const (
	// configApply is the bound of a small deployment on the time until a desired state is in force.
	configApply = 2 * time.Second
	// maxBodyBytes is the limit of the desired state on a body.
	maxBodyBytes = 4 << 20
	// draftLimit and callLimit are consumers' time limits.
	draftLimit = 20 * time.Second
	callLimit  = 1500 * time.Millisecond
)

// plainReplicas starts replicas of a plain service and writes their entries.
func plainReplicas(store *fake.Store, service string, ids ...string) []*fake.Replica {
	var all []*fake.Replica
	for _, id := range ids {
		p := fake.NewReplica(id)
		store.Put(platform.ReplicaTable, id, p.Entry(service))
		all = append(all, p)
	}
	return all
}

// tenant returns a tenant with its keys, as the desired state has it.
func tenant(name string, keys ...string) any {
	all := []any{}
	for _, key := range keys {
		all = append(all, key)
	}
	return map[string]any{"name": name, "api_keys": all}
}

// ran returns which requests the replicas ran, by id, with the tenant that they were told.
func ran(replicas []*fake.Replica) map[string]fake.Run {
	runs := map[string]fake.Run{}
	for _, p := range replicas {
		for _, run := range p.Runs() {
			runs[run.RequestID] = run
		}
	}
	return runs
}

// siteZones are the zones of the machines of a small deployment.
var siteZones = []string{"hall-c", "hall-b", "hall-b", "hall-a", "hall-a", "hall-a"}

// deskConfig is the desired state: the project's own one, with the limits and time limits of a small
// deployment.
func deskConfig(version int) map[string]any {
	c := fake.Config(version)
	c["limits"] = map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
	for _, route := range c["routes"].([]any) {
		r := route.(map[string]any)
		if r["kind"] == "streaming" {
			r["timeout_ms"] = draftLimit.Milliseconds()
		} else {
			r["timeout_ms"] = callLimit.Milliseconds()
		}
	}
	return c
}

// engines starts replicas of the model, and writes their entries as they change.
func engines(r *run, store *fake.Store, group *fake.Group, stop chan struct{}) []*fake.Engine {
	var all []*fake.Engine
	for i := range 8 {
		all = append(all, group.Add(fmt.Sprint("engine-", i), "big", siteZones[i%len(siteZones)]))
	}
	go func() {
		written := map[string]string{}
		for {
			for _, e := range all {
				entry := e.Entry(fake.EngineService)
				if now := fmt.Sprint(entry); now != written[e.ID()] {
					written[e.ID()] = now
					store.Put(platform.ReplicaTable, e.ID(), entry)
				}
			}
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	}()
	return all
}
