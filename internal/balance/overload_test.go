package balance

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/admission"
	"geraniumcroft/internal/config"
	"geraniumcroft/internal/invariant"
)

// Parameters of the overload: 40 targets of 8 slots, bulk requests of 10 s on average at twice
// the capacity, and urgent requests of 100 ms at 4% of it.
const (
	overloadTargets = 40
	overloadSlots   = 8
	overloadBulk    = 2.0
	overloadUrgent  = 0.04
	bulkService     = 10 * time.Second
	urgentService   = 100 * time.Millisecond
	overloadLength  = 10 * time.Second
)

// overload is the admission and the balancer of one VM under load, in virtual time.
type overload struct {
	admission *admission.Controller
	balancer  *Balancer
	random    *rand.Rand
	all       sync.WaitGroup

	mu     sync.Mutex // guards the fields below
	urgent []time.Duration
	failed int
	bulk   int
}

func newOverload(s Settings) *overload {
	o := &overload{random: rand.New(rand.NewPCG(3, 4))}
	s.random = func(n int) int { o.mu.Lock(); defer o.mu.Unlock(); return o.random.IntN(n) }
	o.balancer = New(s, invariant.Strict())
	o.balancer.Update(services(overloadTargets, overloadSlots))
	o.admission = admission.New(admission.Settings{}, invariant.Strict())
	o.balancer.OnFree(o.admission.Wake)
	return o
}

func (o *overload) exponential(mean time.Duration) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return time.Duration(o.random.ExpFloat64() * float64(mean))
}

// send makes requests arrive at random, at the given share of the capacity.
func (o *overload) send(u config.Urgency, share float64, service, length time.Duration) {
	interval := time.Duration(float64(service) / (share * overloadTargets * overloadSlots))
	end := time.Now().Add(length)
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(o.exponential(interval))
		workspace := fmt.Sprint(n % 10)
		took := service
		if u == config.Bulk {
			took = o.exponential(service)
		}
		o.all.Go(func() { o.request(u, workspace, took) })
	}
}

func (o *overload) request(u config.Urgency, workspace string, service time.Duration) {
	arrival := time.Now()
	r := &admission.Request{
		Workspace: workspace, Pool: "svc", Urgency: u, Arrival: arrival,
		Deadline: arrival.Add(3 * bulkService), Expected: service,
	}
	var slot *Slot
	err := o.admission.Admit(context.Background(), r, func() (ok bool) {
		slot, _ = o.balancer.Pick(Query{Pool: "svc", Urgency: r.EffectiveUrgency()})
		return slot != nil
	})
	if err == nil {
		time.Sleep(service)
		slot.Release(ResultNeutral)
		o.admission.Finished("svc", service)
	}
	o.note(u, err, time.Since(arrival))
}

func (o *overload) note(u config.Urgency, err error, took time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case u == config.Bulk && err == nil:
		o.bulk++
	case u == config.Urgent && err == nil:
		o.urgent = append(o.urgent, took)
	case u == config.Urgent:
		o.failed++
	}
}

// urgentP99 returns the 99th percentile of the latency of urgent requests.
func urgentP99(t *testing.T, s Settings, bulkShare float64) (p99 time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		o := newOverload(s)
		if bulkShare > 0 {
			o.all.Go(func() { o.send(config.Bulk, bulkShare, bulkService, bulkService+overloadLength) })
			time.Sleep(bulkService)
		}
		o.send(config.Urgent, overloadUrgent, urgentService, overloadLength)
		o.all.Wait()
		slices.Sort(o.urgent)
		p99 = o.urgent[len(o.urgent)*99/100]
		t.Logf("bulk at %3.0f%%: urgent median %s, 99th percentile %s of %d, %d refused; %d bulk answered",
			bulkShare*100, o.urgent[len(o.urgent)/2], p99, len(o.urgent), o.failed, o.bulk)
		if o.failed > 0 && !s.faults.noHeadroom {
			t.Errorf("%d urgent requests were refused", o.failed)
		}
	})
	return p99
}

// Bulk requests need twice the capacity of the targets while urgent requests arrive. The
// latter are answered as fast as on an idle system because of the slots that are kept free.
// Without these slots each would wait for a bulk request to end.
func TestBulkOverloadDoesNotDelayUrgent(t *testing.T) {
	idle := urgentP99(t, Settings{}, 0)
	loaded := urgentP99(t, Settings{}, overloadBulk)
	t.Logf("ratio %.3f", float64(loaded)/float64(idle))
	if float64(loaded) > 1.2*float64(idle) {
		t.Errorf("urgent 99th percentile %s under bulk, %s idle", loaded, idle)
	}
	faulty := urgentP99(t, Settings{faults: faults{noHeadroom: true}}, overloadBulk)
	t.Logf("ratio without headroom %.3f", float64(faulty)/float64(idle))
	if float64(faulty) <= 1.2*float64(idle) {
		t.Errorf("without headroom the 99th percentile is %s, %s idle", faulty, idle)
	}
}
