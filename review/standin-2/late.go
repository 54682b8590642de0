package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// holdingProxy forwards connections to the store. While it holds, what a caller sends is kept back for a time and
// then delivered, whether or not the caller still waits.
type holdingProxy struct {
	listener net.Listener
	to       string
	hold     func() time.Duration
}

func newHoldingProxy(to string, hold func() time.Duration) (*holdingProxy, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ownIP(101), "0"))
	if err != nil {
		return nil, err
	}
	p := &holdingProxy{listener: listener, to: to, hold: hold}
	go p.run()
	return p, nil
}

func (p *holdingProxy) run() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(caller, p.hold())
	}
}

func (p *holdingProxy) forward(caller net.Conn, hold time.Duration) {
	defer func() { _ = caller.Close() }()
	if hold > 0 { // the caller gives up meanwhile; its bytes are on their way
		held := make([]byte, 0, 64<<10)
		buffer := make([]byte, 64<<10)
		release := time.After(hold)
		_ = caller.SetReadDeadline(time.Now().Add(hold))
		for {
			n, err := caller.Read(buffer)
			held = append(held, buffer[:n]...)
			if err != nil {
				break
			}
		}
		<-release
		to, err := net.Dial("tcp", p.to)
		if err != nil {
			return
		}
		defer func() { _ = to.Close() }()
		_, _ = to.Write(held)
		_ = to.SetReadDeadline(time.Now().Add(time.Second))
		_, _ = to.Read(buffer) // the answer finds nobody
		return
	}
	to, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	go func() {
		_, _ = io.Copy(to, caller)
		_ = to.(*net.TCPConn).CloseWrite()
	}()
	_, _ = io.Copy(caller, to)
}

// Times of the case: the bounds of a small installation, and how long one heartbeat is on its way.
const (
	drainTime  = 2000 * time.Millisecond
	lateWrite  = 5500 * time.Millisecond // calls without an answer may be performed seconds later; at most 6 s here
	sendPeriod = 25 * time.Millisecond
)

// runLateHeartbeat plays the case: one heartbeat of a replica gets no answer and is performed seconds later, after
// the replica has reported that it drains.
func runLateHeartbeat(e *env) (broken bool, err error) {
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
	leaver.write(e.store.address)
	if err := waitReady(vms, 20*time.Second); err != nil {
		return false, err
	}
	time.Sleep(heartbeat)
	leaver.write(e.store.address)
	consumers, stop := e.startConsumers(vms)
	time.Sleep(heartbeat)
	hold := func() time.Duration { return 0 }
	if e.trouble {
		hold = func() time.Duration { return lateWrite }
	}
	proxy, err := newHoldingProxy(e.store.address, hold)
	if err != nil {
		return false, err
	}
	defer func() { _ = proxy.listener.Close() }()
	start := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(start.Add(d))) }
	go leaver.write(proxy.listener.Addr().String()) // on the real network, this one's packets are lost for a while
	at(heartbeat)
	leaver.write(e.store.address)
	at(2 * heartbeat)
	leaver.write(e.store.address)
	at(2*heartbeat + 200*time.Millisecond)
	leaver.setState("draining")
	if !leaver.write(e.store.address) {
		return false, fmt.Errorf("the store has not acknowledged that the replica drains")
	}
	acked := time.Now()
	e.record.summary("the store has acknowledged that %s drains; nothing may reach it from %s later", leaver.id, drainTime)
	for n := 1; n <= 2; n++ { // as before, each heartbeat
		at(2*heartbeat + 200*time.Millisecond + time.Duration(n)*heartbeat)
		leaver.write(e.store.address)
	}
	at(lateWrite + 1050*time.Millisecond)
	leaver.exit() // more than drain_ms after its report
	leaver.removeEntry()
	at(lateWrite + 3*time.Second)
	stop()
	return e.judgeDrain(leaver, consumers, &arrivals, acked), nil
}

// judgeDrain counts the attempts that reached the replica although they were sent later than drainTime after the
// store had acknowledged that it drains.
func (e *env) judgeDrain(leaver *desk, consumers []*consumer, arrivals *sync.Map, acked time.Time) bool {
	late, lost, sent, ok := 0, 0, 0, 0
	for _, c := range consumers {
		for _, a := range c.attempts {
			sent++
			if a.status == 200 {
				ok++
			}
			arrived, reached := arrivals.Load(a.id)
			if !reached || !a.at.After(acked.Add(drainTime)) {
				continue
			}
			late++
			outcome := fmt.Sprint("status ", a.status)
			if a.status != 200 {
				lost++
			}
			e.record.line("late: %s was sent %.3f s and reached %s %.3f s after the acknowledgement; %s", a.id, a.at.Sub(acked).Seconds(), leaver.id, arrived.(time.Time).Sub(acked).Seconds(), outcome)
		}
	}
	e.record.summary("%d attempts, %d answered with 200; %d reached %s later than %s after the acknowledgement, %d of these without a success", sent, ok, late, leaver.id, drainTime, lost)
	return late > 0
}
