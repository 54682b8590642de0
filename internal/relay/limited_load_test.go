package relay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/admission"
	"geraniumcroft/internal/balance"
	"geraniumcroft/internal/config"
	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/outcome"
	"geraniumcroft/internal/pushback"
)

const (
	limitedPool = "desk"
	// limitedTo is the limit of the only replica, in requests a second.
	limitedTo = 10.0
	// mayWait is how long a call may wait for its turn.
	mayWait = 250 * time.Millisecond
	// urgentEvery and bulkEvery are the times between two calls: five times the limit is wanted.
	urgentEvery = 200 * time.Millisecond
	bulkEvery   = 22 * time.Millisecond
	loadLasts   = 20 * time.Second
)

// limitedLoad is calls before one replica that names a limit, in virtual time.
type limitedLoad struct {
	admission *admission.Controller
	balancer  *balance.Balancer

	mu             sync.Mutex // guards the fields below
	served         map[config.Urgency]int
	asked          map[config.Urgency]int
	longestRefusal time.Duration
	withoutReturn  int
}

func newLimitedLoad() *limitedLoad {
	replica := incarnation.Key{ID: "desk-0", Born: 1}
	ledger := pushback.NewLedger(zap.NewNop())
	ledger.SetFleet(pushback.Fleet{Self: "vm", Known: true, VMs: []pushback.VM{{Name: "vm"}}}, time.Now())
	ledger.Observe(pushback.Origin{Replica: replica, Sent: time.Now()}, pushback.Signal{Limit: pushback.LimitOf(limitedTo)}, time.Now())
	l := &limitedLoad{admission: admission.New(admission.Settings{}, invariant.Strict()), served: map[config.Urgency]int{}, asked: map[config.Urgency]int{}}
	gate := TargetGate{NewReplicaGate(ledger, l.admission.WakeAll)}
	l.balancer = balance.New(balance.Settings{Gate: gate}, invariant.Strict())
	l.balancer.OnFree(l.admission.Wake)
	targets := config.NewSnapshot()
	name := replica.String()
	targets.Targets[name] = &config.Target{Name: name, Kind: config.KindService, Service: limitedPool, Slots: 100, State: config.StateActive}
	l.balancer.Update(targets)
	return l
}

// call asks for a slot as a call does, and notes what its caller gets.
func (l *limitedLoad) call(id string, u config.Urgency) {
	arrived := time.Now()
	var slot *balance.Slot
	err := l.admission.Admit(context.Background(), &admission.Request{ID: id, Pool: limitedPool, Urgency: u, MaxQueueWait: mayWait}, func() bool {
		picked, err := l.balancer.Pick(balance.Query{Pool: limitedPool, Urgency: u})
		slot = picked
		return err == nil
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked[u]++
	if err == nil {
		l.served[u]++
		go slot.Release(balance.ResultOK)
		return
	}
	l.longestRefusal = max(l.longestRefusal, time.Since(arrived))
	var failure *outcome.Failure
	if !errors.As(err, &failure) || failure.Outcome != outcome.NotRun || failure.RetryAfter <= 0 {
		l.withoutReturn++
	}
}

// every makes calls at an interval until the load is over.
func (l *limitedLoad) every(interval time.Duration, u config.Urgency, calls *sync.WaitGroup) {
	for n := range int(loadLasts / interval) {
		time.Sleep(interval)
		calls.Go(func() { l.call(fmt.Sprint(u, "-", n), u) })
	}
}

// Guards against urgent calls that wait behind others for a replica which names a limit, against a limit
// that is not used, and against refusals that come late or don't say when to come back.
func TestUrgentCallsGoFirstAtALimitedReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimitedLoad()
		var calls sync.WaitGroup
		calls.Go(func() { l.every(urgentEvery, config.Urgent, &calls) })
		l.every(bulkEvery, config.Bulk, &calls)
		calls.Wait()
		served := l.served[config.Urgent] + l.served[config.Bulk]
		if l.served[config.Urgent] < l.asked[config.Urgent] {
			t.Errorf("%d of %d urgent calls served", l.served[config.Urgent], l.asked[config.Urgent])
		}
		if most := limitedTo * loadLasts.Seconds(); float64(served) < 0.9*most || float64(served) > most+limitedTo {
			t.Errorf("%d calls served, the limit allows %g", served, most)
		}
		if l.longestRefusal > mayWait || l.withoutReturn > 0 {
			t.Errorf("refused after up to %s, %d without the time to come back", l.longestRefusal, l.withoutReturn)
		}
	})
}
