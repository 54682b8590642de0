package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// slots and queue are those of a plain replica; what comes beyond them is rejected.
	slots = 6
	queue = 1
	// extraShare is the share of answers of which a faulty replica sends a second copy, and faultTime how long.
	extraShare = 0.05
	faultTime  = 5700 * time.Millisecond
	// faultyDesks of 5 replicas are faulty.
	faultyDesks = 3
)

// busyDesk is a plain replica that rejects requests while it is full. A faulty one sends a second copy of rejections,
// late: at the point where its next answer is expected.
type busyDesk struct {
	*desk
	working chan struct{}

	mu      sync.Mutex // guards the fields below
	faulty  bool
	present int
	// answers and copies count the answers while the replica is faulty, and their second copies.
	answers, copies int
	extra           [][]byte       // the second copies that are yet to be sent
	runs            map[string]int // by the id of the attempt
	works           map[string]int // by the path, which is that of one confirmation in all its attempts
}

func newBusyDesk(id, zone string, e *env) (*busyDesk, error) {
	d, err := newDesk(id, deskService, zone, e.store.address, e.record)
	if err != nil {
		return nil, err
	}
	b := &busyDesk{desk: d, working: make(chan struct{}, slots), runs: map[string]int{}, works: map[string]int{}}
	d.work = 100 * time.Millisecond
	d.server.Handler = http.HandlerFunc(b.serve)
	return b, nil
}

// arrive counts a request in, and returns the second copy that is due and whether there is room for the request.
func (b *busyDesk) arrive() (extra []byte, room bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.extra) > 0 {
		extra, b.extra = b.extra[0], b.extra[1:]
	}
	if b.present >= slots+queue {
		return extra, false
	}
	b.present++
	return extra, true
}

// answered counts an answer, and keeps a copy of a rejection while the replica is faulty, of at most extraShare of its
// answers.
func (b *busyDesk) answered(answer []byte, rejection bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.faulty {
		return
	}
	b.answers++
	if rejection && float64(b.copies+1) <= extraShare*float64(b.answers) {
		b.copies++
		b.extra = append(b.extra, answer)
	}
}

func (b *busyDesk) setFaulty(faulty bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faulty = faulty
}

func (b *busyDesk) serve(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != b.id {
		w.Header().Set("Instance-Id", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("Request-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	extra, room := b.arrive()
	if extra != nil {
		b.record.line("%s sends a second copy of an earlier answer, before that to %s: %q", b.id, id, extra[:min(len(extra), 120)])
		_, _ = conn.Write(extra)
	}
	if !room {
		b.record.line("%s rejects %s: it is full", b.id, id)
		b.send(conn, fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nServer-Load: %d,%d,%d\r\nContent-Length: 0\r\n\r\n", id, slots, queue, slots), true)
		return
	}
	b.working <- struct{}{}
	b.record.line("%s runs %s %s", b.id, id, r.URL.Path)
	b.mu.Lock()
	b.runs[id]++
	b.works[r.URL.Path]++
	b.mu.Unlock()
	time.Sleep(b.work)
	<-b.working
	b.mu.Lock()
	b.present--
	b.mu.Unlock()
	body := fmt.Sprintf("answer of %s to %s", b.id, id)
	b.send(conn, fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: signed-by-%s\r\nContent-Length: %d\r\n\r\n%s", id, b.id, len(body), body), false)
}

// send sends an answer.
func (b *busyDesk) send(conn net.Conn, answer []byte, rejection bool) {
	_, _ = conn.Write(answer)
	b.answered(answer, rejection)
}

// runExtraAnswer plays the case: a faulty replica sends a second copy of some answers late, at the point where the next
// answer is expected. A copy of a rejection bears the id of the rejected request.
func runExtraAnswer(e *env) (broken bool, err error) {
	e.store.put("op", "config", desiredState(5))
	vms, err := e.startVMs(3, []string{"lima-surco", "lima-callao", "lima-ate"})
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var desks []*busyDesk
	for i, zone := range []string{"lima-surco", "lima-callao", "lima-ate", "lima-surco", "lima-callao"} {
		b, err := newBusyDesk(fmt.Sprintf("i-%d", i+1), zone, e)
		if err != nil {
			return false, err
		}
		desks = append(desks, b)
		go b.beat(ctx)
	}
	if err := waitReady(vms, 20*time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * heartbeat)
	consumers, stop := e.startBurstyConsumers(vms)
	time.Sleep(time.Second)
	for _, b := range desks[:faultyDesks] {
		b.setFaulty(e.trouble)
	}
	e.record.summary("%d of %d replicas begin to be faulty: %t", faultyDesks, len(desks), e.trouble)
	time.Sleep(faultTime)
	for _, b := range desks[:faultyDesks] {
		b.setFaulty(false)
	}
	time.Sleep(500 * time.Millisecond)
	stop()
	return e.judgeRuns(consumers, desks), nil
}

// startBurstyConsumers lets consumers send confirmations to all VMs in bursts, until the function is called.
func (e *env) startBurstyConsumers(vms []*vm) (consumers []*consumer, stop func()) {
	const burst, pause = 7, 50 * time.Millisecond
	var sending sync.WaitGroup
	ended := make(chan struct{})
	for _, v := range vms {
		c := newConsumer(v, e.record)
		consumers = append(consumers, c)
		sending.Go(func() {
			for {
				select {
				case <-ended:
					return
				case <-time.After(pause):
				}
				for range burst {
					sending.Go(func() {
						path, body := confirmRoute+newID(), "lock out bay "+newID()
						if a := c.send(http.MethodPost, path, body, 1500*time.Millisecond); promisesNotRun(a.status) {
							time.Sleep(200 * time.Millisecond)
							c.send(http.MethodPost, path, body, 1200*time.Millisecond) // a new attempt, as the promise allows
						}
					})
				}
			}
		})
	}
	return consumers, func() {
		close(ended)
		sending.Wait()
	}
}

// promisesNotRun reports whether a status promises that the request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// judgeRuns counts the confirmations that ran more than once, and those that were answered with a promise that they
// have not run though they have.
func (e *env) judgeRuns(consumers []*consumer, desks []*busyDesk) bool {
	sent, ok, twice, untrue := 0, 0, 0, 0
	for _, c := range consumers {
		for _, a := range c.attempts {
			sent++
			runs := 0
			for _, b := range desks {
				runs += b.runs[a.id]
			}
			if a.status == http.StatusOK {
				ok++
			}
			if promisesNotRun(a.status) && runs > 0 {
				untrue++
				e.record.line("untrue: %s ran %d times; its consumer got %d, which promises that it did not", a.id, runs, a.status)
			}
			if runs > 1 {
				twice++
				e.record.line("twice: %s ran %d times; its consumer got %d", a.id, runs, a.status)
			}
		}
	}
	works, doubled := map[string]int{}, 0
	for _, b := range desks {
		for path, n := range b.works {
			works[path] += n
		}
	}
	for path, n := range works {
		if n > 1 {
			doubled++
			e.record.line("doubled: the confirmation %s was carried out %d times", path, n)
		}
	}
	e.record.summary("%d attempts, %d answered with 200; %d ran and were answered with a promise that they had not, %d ran more than once; %d confirmations were carried out twice by that", sent, ok, untrue, twice, doubled)
	return twice+untrue > 0
}
