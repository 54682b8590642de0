package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// runForeignEntry plays the case: after the entry of a replica that leaves has been removed, another writer writes an
// entry under its key whose field born has another type. Such an entry names no replica to use.
func runForeignEntry(e *env) (broken bool, err error) {
	e.store.put("op", "config", desiredState(5))
	vms, err := e.startVMs(3, []string{"lima-surco", "lima-callao", "lima-ate"})
	if err != nil {
		return false, err
	}
	var arrivals sync.Map // id to time, at the replica that leaves
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	desks, err := e.startDesks([]string{"lima-surco", "lima-callao", "lima-ate"})
	if err != nil {
		return false, err
	}
	leaver := desks[0]
	leaver.onArrival = func(_ *desk, id string) { arrivals.Store(id, time.Now()) }
	for _, d := range desks[1:] {
		go d.beat(ctx)
	}
	beating, stopBeating := context.WithCancel(ctx)
	defer stopBeating()
	go leaver.beat(beating)
	if err := waitReady(vms, 20*time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * heartbeat)
	consumers, stop := e.startConsumers(vms)
	time.Sleep(3 * heartbeat)
	stopBeating()
	time.Sleep(100 * time.Millisecond)
	leaver.removeEntry() // it never reports that it drains, and goes on serving for a while
	acked := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(acked.Add(d))) }
	e.record.summary("the store has acknowledged that %s is gone; nothing may reach it from %s later", leaver.id, drainTime)
	at(drainTime + 500*time.Millisecond)
	if e.trouble {
		row := map[string]any{
			"service": leaver.service, "address": leaver.address, "zone": leaver.zone, "version": "v1", "slots": 6, "state": "ready",
			"cold_left_ms": 0, "sequence": 7, "born": "2026-12-04T12:00:00Z",
		}
		e.store.put("servers", leaver.id, row)
		e.record.line("another writer has written an entry under %s: %v", leaver.id, row)
	}
	at(2*drainTime + 1300*time.Millisecond)
	leaver.exit()
	at(2*drainTime + 1500*time.Millisecond)
	if e.trouble {
		leaver.removeEntry() // of a replica that is silent
	}
	at(3 * drainTime)
	stop()
	return e.judgeDrain(leaver, consumers, &arrivals, acked), nil
}

// startDesks starts one replica in each zone.
func (e *env) startDesks(zones []string) ([]*desk, error) {
	var desks []*desk
	for i, zone := range zones {
		d, err := newDesk(fmt.Sprintf("i-%d", i+1), deskService, zone, e.store.address, e.record)
		if err != nil {
			return nil, err
		}
		desks = append(desks, d)
	}
	return desks, nil
}

// startBeatingDesks starts one replica in each of three zones, which write their entries until the function is called.
func (e *env) startBeatingDesks() (stop func(), err error) {
	desks, err := e.startDesks([]string{"lima-surco", "lima-callao", "lima-ate"})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	for _, d := range desks {
		go d.beat(ctx)
	}
	return cancel, nil
}

// startConsumers lets consumers send to all VMs until the function is called, which waits for the last answers.
func (e *env) startConsumers(vms []*vm) (consumers []*consumer, stop func()) {
	var sending sync.WaitGroup
	ended := make(chan struct{})
	for _, v := range vms {
		c := newConsumer(v, e.record)
		consumers = append(consumers, c)
		sending.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-ended:
					return
				case <-time.After(sendPeriod):
				}
				method, path, body := "POST", fmt.Sprintf("%s%x", confirmRoute, n), "lock out bay "+newID()
				if n%4 == 3 {
					method, path, body = "GET", fmt.Sprintf("%s%x", checkRoute, n), ""
				}
				sending.Go(func() { c.send(method, path, body, 1500*time.Millisecond) })
			}
		})
	}
	return consumers, func() {
		close(ended)
		sending.Wait()
	}
}
