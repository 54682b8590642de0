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
	// replicaLimit is the rate limit of the only replica, in requests per second.
	replicaLimit = 10.0
	// maxQueueWait is how long a call may wait in the queue.
	maxQueueWait = 250 * time.Millisecond
	// urgentInterval and bulkInterval are the times between two calls. The load is five times the
	// limit.
	urgentInterval = 200 * time.Millisecond
	bulkInterval   = 22 * time.Millisecond
	loadDuration   = 20 * time.Second
)

// limitedLoad makes calls to a single replica with a rate limit, in virtual time.
type limitedLoad struct {
	admission *admission.Controller
	balancer  *balance.Balancer

	mu                sync.Mutex // guards the fields below
	served            map[config.Urgency]int
	requested         map[config.Urgency]int
	longestRefusal    time.Duration
	withoutRetryAfter int
}

func newLimitedLoad() *limitedLoad {
	replica := incarnation.Key{ID: "desk-0", Born: 1}
	ledger := pushback.NewLedger(zap.NewNop())
	ledger.SetFleet(pushback.Fleet{Self: "vm", Known: true, VMs: []pushback.VM{{Name: "vm"}}}, time.Now())
	ledger.Observe(pushback.Origin{Replica: replica, Sent: time.Now()}, pushback.Signal{Limit: pushback.LimitOf(replicaLimit)}, time.Now())
	l := &limitedLoad{admission: admission.New(admission.Settings{}, invariant.Strict()), served: map[config.Urgency]int{}, requested: map[config.Urgency]int{}}
	gate := TargetGate{NewReplicaGate(ledger, l.admission.WakeAll)}
	l.balancer = balance.New(balance.Settings{Gate: gate}, invariant.Strict())
	l.balancer.OnFree(l.admission.Wake)
	targets := config.NewSnapshot()
	name := replica.String()
	targets.Targets[name] = &config.Target{Name: name, Kind: config.KindService, Service: limitedPool, Slots: 100, State: config.StateActive}
	l.balancer.Update(targets)
	return l
}

// call takes a slot in the way that the handler does, and records what the caller gets.
func (l *limitedLoad) call(id string, u config.Urgency) {
	arrived := time.Now()
	var slot *balance.Slot
	err := l.admission.Admit(context.Background(), &admission.Request{ID: id, Pool: limitedPool, Urgency: u, MaxQueueWait: maxQueueWait}, func() bool {
		picked, err := l.balancer.Pick(balance.Query{Pool: limitedPool, Urgency: u})
		slot = picked
		return err == nil
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requested[u]++
	if err == nil {
		l.served[u]++
		go slot.Release(balance.ResultOK)
		return
	}
	l.longestRefusal = max(l.longestRefusal, time.Since(arrived))
	var failure *outcome.Failure
	if !errors.As(err, &failure) || failure.Outcome != outcome.NotRun || failure.RetryAfter <= 0 {
		l.withoutRetryAfter++
	}
}

// callEvery makes calls at an interval until the load ends.
func (l *limitedLoad) callEvery(interval time.Duration, u config.Urgency, calls *sync.WaitGroup) {
	for n := range int(loadDuration / interval) {
		time.Sleep(interval)
		calls.Go(func() { l.call(fmt.Sprint(u, "-", n), u) })
	}
}

// Guards against urgent calls that wait behind others for a replica with a rate limit, against a
// limit that is not used up, and against refusals that are late or have no Retry-After.
func TestUrgentCallsGoFirstAtALimitedReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimitedLoad()
		var calls sync.WaitGroup
		calls.Go(func() { l.callEvery(urgentInterval, config.Urgent, &calls) })
		l.callEvery(bulkInterval, config.Bulk, &calls)
		calls.Wait()
		served := l.served[config.Urgent] + l.served[config.Bulk]
		if l.served[config.Urgent] < l.requested[config.Urgent] {
			t.Errorf("%d of %d urgent calls served", l.served[config.Urgent], l.requested[config.Urgent])
		}
		if most := replicaLimit * loadDuration.Seconds(); float64(served) < 0.9*most || float64(served) > most+replicaLimit {
			t.Errorf("%d calls served, the limit allows %g", served, most)
		}
		if l.longestRefusal > maxQueueWait || l.withoutRetryAfter > 0 {
			t.Errorf("refused after up to %s, %d without Retry-After", l.longestRefusal, l.withoutRetryAfter)
		}
	})
}
