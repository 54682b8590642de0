package main

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"geraniumcroft/platform"
	"geraniumcroft/platform/fake"
)

const (
	// uploaders is the number of consumers with a long body, streamers that of consumers with short ones.
	uploaders = 93
	streamers = 18
	// uploadTime is how long a consumer takes to send a long body, uploadPieces in how many parts.
	uploadTime   = 8 * time.Second
	uploadPieces = 64
	// downTime is for how long machines are without power.
	downTime = 4 * time.Second
	// retryAfter is when a consumer comes back after a refusal.
	retryAfter = 200 * time.Millisecond
	// maxLost is how many requests the rule LOST lets pass.
	maxLost = 3
)

// bodiesCase is the state of one run of the case of long bodies.
type bodiesCase struct {
	*run
	fleet   *fleet
	engines []*fake.Engine
	// cut are requests on kept channels that ended without an answer while no disruption was on their
	// machine.
	mu  sync.Mutex // guards the field below
	cut map[string]string
	// disrupted holds the machines that the test has killed.
	disrupted map[*machine]bool
	statuses  [600]atomic.Int64
}

// runBodies plays consumers that send bodies as long as the desired state allows, over links that take some
// seconds for them, while five of six machines lose power.
func runBodies(r *run) (bool, error) {
	store, group := fake.NewStore(), fake.NewGroup(20, 40*time.Millisecond)
	defer store.Close()
	stop := make(chan struct{})
	defer close(stop)
	store.Put(platform.OperatorTable, "config", deskConfig(1))
	c := &bodiesCase{run: r, engines: engines(r, store, group, stop), cut: map[string]string{}, disrupted: map[*machine]bool{}}
	for _, e := range c.engines {
		defer e.Close()
	}
	var err error
	if c.fleet, err = newFleet(r, store.Address(), siteZones); err != nil {
		return false, err
	}
	defer c.fleet.close()
	if err := c.fleet.waitReady(); err != nil {
		return false, err
	}
	if err := c.waitServed(); err != nil {
		return false, err
	}
	c.play()
	return c.judge(), nil
}

// waitServed waits until a draft is served by each machine.
func (c *bodiesCase) waitServed() error {
	for i, m := range c.fleet.machines {
		for deadline := time.Now().Add(startTimeout); ; time.Sleep(100 * time.Millisecond) {
			ch, err := c.fleet.dial(m.zone, i, time.Second)
			if err == nil {
				got, doErr := ch.do(sending{id: fmt.Sprint("first-", i, "-", time.Now().UnixNano()), method: http.MethodPost, path: fake.DraftPath + "a", key: fake.APIKey, timeLimit: draftLimit, body: []byte("draft")})
				ch.close()
				if doErr == nil && got.status == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s serves no draft", m.name)
			}
		}
	}
	return nil
}

func (c *bodiesCase) play() {
	var work sync.WaitGroup
	ended := make(chan struct{})
	for i := range streamers {
		work.Go(func() { c.stream(i, ended) })
	}
	time.Sleep(3 * time.Second)
	c.note("%d consumers begin to send bodies of %d bytes", uploaders, maxBodyBytes)
	var uploads sync.WaitGroup
	body := make([]byte, maxBodyBytes)
	for i := range body {
		body[i] = byte(i * 7)
	}
	for i := range uploaders {
		uploads.Go(func() { c.upload(i, body) })
	}
	if c.trouble {
		time.Sleep(500 * time.Millisecond)
		for _, m := range c.fleet.machines[1:] {
			c.mu.Lock()
			c.disrupted[m] = true
			c.mu.Unlock()
			m.kill()
			c.note("disruption: %s loses power", m.name)
		}
		work.Go(func() {
			time.Sleep(downTime)
			for _, m := range c.fleet.machines[1:] {
				if err := c.fleet.start(m); err != nil {
					c.note("%v", err)
				}
				c.note("%s is back", m.name)
			}
		})
	}
	watch := make(chan struct{})
	work.Go(func() { c.watchMemory(watch) })
	uploads.Wait()
	close(watch)
	close(ended)
	work.Wait()
}

func (c *bodiesCase) watchMemory(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
			c.note("memory of %s: %d MB", c.fleet.machines[0].name, c.fleet.machines[0].rssMB())
		}
	}
}

// stream sends short drafts one after the other on a kept channel.
func (c *bodiesCase) stream(i int, ended chan struct{}) {
	zone := siteZones[i%len(siteZones)]
	var ch *channel
	for n := 0; ; n++ {
		select {
		case <-ended:
			return
		default:
		}
		if ch == nil {
			var err error
			if ch, err = c.fleet.dial(zone, i+n, 5*time.Second); err != nil {
				continue
			}
		}
		id := fmt.Sprintf("draft-%d-%d", i, n)
		got, err := ch.do(sending{id: id, method: http.MethodPost, path: fake.DraftPath + "a", key: fake.APIKey, timeLimit: draftLimit, body: []byte("draft")})
		c.count(id, ch, got, err)
		if err != nil || got.closes {
			ch.close()
			ch = nil
		}
		if got.status != http.StatusOK {
			time.Sleep(retryAfter)
		}
	}
}

// upload sends one long body, and once more if the channel breaks.
func (c *bodiesCase) upload(i int, body []byte) {
	zone := siteZones[i%len(siteZones)]
	began := time.Now()
	for n := range 2 {
		ch, err := c.fleet.dial(zone, i+n, 4*time.Second)
		if err != nil {
			return
		}
		id := fmt.Sprintf("long-%d-%d", i, n)
		c.note("%s sent to %s", id, ch.machine.name)
		got, err := ch.do(sending{
			id: id, method: http.MethodPost, path: fake.DraftPath + "a", key: fake.APIKey, timeLimit: draftLimit - time.Since(began),
			body: body, pieces: uploadPieces, uploadTime: uploadTime,
		})
		c.count(id, ch, got, err)
		ch.close()
		if err == nil {
			return
		}
	}
}

// count records how a request ended.
func (c *bodiesCase) count(id string, ch *channel, got reply, err error) {
	c.statuses[got.status].Add(1)
	if err == nil {
		c.note("%s at %s answered with %d", id, ch.machine.name, got.status)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.note("%s at %s ended without an answer after %d answers on its channel: %v", id, ch.machine.name, ch.answered, err)
	if ch.answered > 0 && !c.disrupted[ch.machine] {
		c.cut[id] = ch.machine.name
	}
}

// judge reports whether at most maxLost requests from kept channels that were passed on to a replica ended
// without an answer, on machines that were in touch.
func (c *bodiesCase) judge() bool {
	var ran []string
	for _, e := range c.engines {
		ran = append(ran, e.Runs()...)
	}
	c.note("%d requests ran: %v", len(ran), ran)
	for status := range c.statuses {
		if n := c.statuses[status].Load(); n > 0 {
			c.note("answers with status %s: %d", strconv.Itoa(status), n)
		}
	}
	lost := 0
	for id, m := range c.cut {
		if slices.Contains(ran, id) {
			lost++
			c.note("LOST: %s was passed on by %s and not answered", id, m)
		}
	}
	ends := 0
	for _, m := range c.fleet.machines {
		m.mu.Lock()
		ends += m.ends
		m.mu.Unlock()
	}
	c.note("%d requests lost, %d may be; %d processes exceeded their memory", lost, maxLost, ends)
	fmt.Fprintf(os.Stdout, "lost %d, ends over memory %d\n", lost, ends)
	return lost <= maxLost
}
