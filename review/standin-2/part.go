package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// nextKey is a key that only a plan for a later desired state holds.
const nextKey = "zz9plannedkey0000000"

// runOtherPart plays the case: the operator keeps a plan for a later desired state in its table, in a part of its own.
// The row is not op/config, which has an empty part, so that what it holds is in force nowhere.
func runOtherPart(e *env) (broken bool, err error) {
	e.store.put("op", "config", desiredState(5))
	vms, err := e.startVMs(3, []string{"lima-surco", "lima-callao", "lima-ate"})
	if err != nil {
		return false, err
	}
	stopDesks, err := e.startBeatingDesks()
	if err != nil {
		return false, err
	}
	defer stopDesks()
	if err := waitReady(vms, 20*time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * heartbeat)
	if e.trouble {
		plan := desiredState(9)
		plan["tenants"] = []any{map[string]any{"name": "planned", "api_keys": []any{nextKey}}}
		e.store.putPart("op", "plan", "config", plan)
		e.record.summary("the operator has written its plan: table op, part plan, key config; op/config is version 5 as before")
	}
	var ran, denied, sent atomic.Int64
	for n := range 40 {
		for _, v := range vms {
			c := newConsumer(v, e.record)
			a := c.sendWithKey(http.MethodPost, fmt.Sprintf("%s%x", confirmRoute, n), "lock out bay "+newID(), nextKey, 1500*time.Millisecond)
			sent.Add(1)
			if a.status == http.StatusOK {
				ran.Add(1)
			}
			b := c.send(http.MethodPost, fmt.Sprintf("%s%x", confirmRoute, n), "lock out bay "+newID(), 1500*time.Millisecond)
			if b.status == http.StatusUnauthorized {
				denied.Add(1)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	e.record.summary("%d requests with the key that no desired state ever held, %d run; as many with the key that op/config holds, %d refused with 401", sent.Load(), ran.Load(), denied.Load())
	return ran.Load() > 0, nil
}
