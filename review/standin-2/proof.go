package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

// spoiltShare is the share of its answers that a faulty replica spoils.
const spoiltShare = 0.05

// runSpoiltHead plays the case: a faulty replica spoils some of its answers, in the line of the head that holds the
// proof. What is left is no answer of the replica: it lacks the proof.
func runSpoiltHead(e *env) (broken bool, err error) {
	e.store.put("op", "config", desiredState(5))
	vms, err := e.startVMs(3, []string{"lima-surco", "lima-callao", "lima-ate"})
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	desks, err := e.startDesks([]string{"lima-surco", "lima-callao", "lima-ate"})
	if err != nil {
		return false, err
	}
	var faulty atomic.Bool
	desks[0].server.Handler = spoiling(desks[0], &faulty)
	for _, d := range desks {
		go d.beat(ctx)
	}
	if err := waitReady(vms, 20*time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * heartbeat)
	consumers, stop := e.startConsumers(vms)
	time.Sleep(time.Second)
	faulty.Store(e.trouble)
	e.record.summary("%s begins to spoil answers: %t", desks[0].id, e.trouble)
	time.Sleep(faultTime)
	faulty.Store(false)
	time.Sleep(500 * time.Millisecond)
	stop()
	sent, ok, without := 0, 0, 0
	for _, c := range consumers {
		for _, a := range c.attempts {
			sent++
			if a.status >= 200 && a.status < 300 {
				ok++
				if a.sign == "" {
					without++
					e.record.line("without proof: %s got %d with the body %q", a.id, a.status, a.body)
				}
			}
		}
	}
	e.record.summary("%d attempts, %d successes, %d of these without a Response-Signature", sent, ok, without)
	return without > 0, nil
}

// spoiling returns the handler of a replica that overwrites bytes of the head in some of its answers while it is faulty.
func spoiling(d *desk, faulty *atomic.Bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if expected := r.Header.Get("Expect-Instance"); !faulty.Load() || rand.Float64() >= spoiltShare || expected != d.id {
			d.serve(w, r)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("Request-Id")
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		d.record.line("%s runs %s %s and spoils its answer", d.id, id, r.URL.Path)
		time.Sleep(d.work)
		body := fmt.Sprintf("answer of %s to %s", d.id, id)
		answer := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: signed-by-%s\r\nContent-Length: %d\r\n\r\n%s", id, d.id, len(body), body)
		from := len("HTTP/1.1 200 OK\r\nRequest-Id: ") + len(id) + len("\r\n")
		copy(answer[from+2:], "7#q!") // in the name of the header with the proof
		_, _ = conn.Write(answer)
	})
}
