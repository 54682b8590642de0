package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"geraniumcroft/internal/admission"
	"geraniumcroft/internal/allocator"
	"geraniumcroft/internal/balance"
	"geraniumcroft/internal/config"
	"geraniumcroft/internal/dispatch"
	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/layers"
	"geraniumcroft/internal/outcome"
	"geraniumcroft/internal/overload"
	"geraniumcroft/internal/quarantine"
)

const (
	competingService = "desk"
	competingSeed    = 1
	// competingCallers are distributed over the VMs by a hash, so the load of VMs differs.
	competingCallers = 300
	competingTime    = 16 * time.Second
	// warmUp is not counted: VMs have no reports at first.
	warmUp = 4 * time.Second
	// reportAge is the age of a load report that reaches a VM.
	reportAge     = 1500 * time.Millisecond
	callerTimeout = 20 * time.Second
	// carriedStreams is the highest multiple of ten streams a second at which a single VM, which
	// knows of all requests, has at least 0.95 of them in time: 0.98 at 120, 0.92 at 130, seed 1.
	carriedStreams = 120.0
)

// competingProfile is one of the profiles in docs/overload.md.
type competingProfile struct {
	Profile
	part           float64 // of all streams
	prompt, events int
}

var competingProfiles = []competingProfile{
	{Profile{Name: "quotes", Priority: 0, Objective: 500 * time.Millisecond, Resumable: true, MaxAttempts: 2, Backends: []Backend{{competingService, 1}}}, 0.541, 800, 34},
	{Profile{Name: "stock answers", Priority: 1, Objective: 500 * time.Millisecond, Resumable: true, MaxAttempts: 2, Backends: []Backend{{competingService, 1}}}, 0.286, 714, 56},
	{Profile{Name: "catalogue texts", Priority: 2, Objective: time.Second, Resumable: true, MaxAttempts: 2, Backends: []Backend{{competingService, 1}}}, 0.173, 800, 58},
}

// competingTally is what the callers of one profile get.
type competingTally struct{ callers, inTime, late, refused, refusedTwice int }

func (t competingTally) served() float64 {
	return float64(t.inTime+t.late) / float64(max(1, t.callers))
}

func (t competingTally) partInTime() float64 { return float64(t.inTime) / float64(max(1, t.callers)) }

// competingLoad is the load of one data centre, in virtual time.
type competingLoad struct {
	engines *fakeEngines
	config  *Config
	vms     []*Handler
	// allocated holds the reservations of all VMs.
	allocated *Pools
	allocator localAllocator
	random    *rand.Rand
	calls     sync.WaitGroup
	began     time.Time

	mu      sync.Mutex // guards the field below
	tallies [3]competingTally
}

func newCompetingLoad(vms int, seed uint64) *competingLoad {
	l := &competingLoad{random: rand.New(rand.NewPCG(seed, 1)), engines: newFakeEngines(), began: time.Now()}
	l.config = NewConfig(1, []*Profile{&competingProfiles[0].Profile, &competingProfiles[1].Profile, &competingProfiles[2].Profile}, nil,
		map[string]*Service{competingService: {Name: competingService, Model: l.engines.spec}}, Limits{})
	l.config.EnableOverloadControl()
	l.allocated = NewPools()
	l.allocated.SetOverloadLimits(overload.Limits{Reserve: 0.15, LateReserve: 0.1})
	l.allocated.SetVMCounts(layers.VMCounts{VM: "vm-0", DataCentre: "a", Fleet: 3, Local: 1, Whole: true})
	l.allocated.Update(competingService, l.engines.spec, l.engines.replicas)
	l.allocator = localAllocator{reserver: NewPathReserver("a", admission.New(admission.Settings{}, invariant.Strict()), l.allocated, 0.35)}
	for i := range vms {
		pools := NewPools()
		pools.SetOverloadLimits(overload.Limits{Reserve: 0.15, LateReserve: 0.1})
		pools.SetVMCounts(layers.VMCounts{VM: fmt.Sprint("vm-", i), DataCentre: "a", Fleet: 3 * vms, Local: vms})
		pools.Update(competingService, l.engines.spec, l.engines.replicas)
		l.vms = append(l.vms, New(Options{
			DataCentre: "a", Admission: admission.New(admission.Settings{}, invariant.Strict()), Balancer: balance.New(balance.Settings{}, invariant.Strict()),
			Pools: pools, RetryBudgets: NewRetryBudgets(RetryBudgetSettings{Slack: 100, Window: 10 * time.Second}), Observer: queueObserver{},
			Invariants: invariant.Strict(), Quarantine: quarantine.NewLedger(quarantine.DefaultSettings, time.Now()), Overload: NewOverloadControl(0.35), Allocator: l.allocator, Logger: zap.NewNop(),
		}))
	}
	return l
}

// localAllocator is an allocator on the same machine.
type localAllocator struct{ reserver *PathReserver }

func (a localAllocator) Reserve(ctx context.Context, r allocator.Request) (allocator.Grant, error) {
	time.Sleep(time.Millisecond) // there and back
	reservation, err := a.reserver.Reserve(ctx, r)
	if err != nil {
		return allocator.Grant{}, err
	}
	return allocator.Grant{Path: reservation.Path(), Release: reservation.Release}, nil
}

func (a localAllocator) RecordRejection(r allocator.Rejection) { a.reserver.RecordRejection(r) }

// queueObserver is an Observer of requests that are queued and not sent.
type queueObserver struct{ Observer }

func (queueObserver) Queued(config.Urgency, time.Duration) {}
func (queueObserver) PathAllocated(string)                 {}

// reportLoads gives each VM once a second the reports of reportAge ago.
func (l *competingLoad) reportLoads() {
	const tick = 100 * time.Millisecond
	var reports []map[incarnation.Key]layers.Load
	for n := range int(competingTime / tick) {
		reports = append(reports, l.engines.loads())
		if old := n - int(reportAge/tick); old >= 0 && n%10 == 0 {
			l.allocated.SetLoads(reports[old])
			l.allocator.reserver.CapacityChanged()
		}
		for i, h := range l.vms {
			if old := n - int(reportAge/tick); old >= 0 && i%10 == n%10 {
				h.Pools.SetLoads(reports[old])
				h.Admission.WakeAll()
			}
		}
		time.Sleep(tick)
	}
}

// attempt makes one attempt of a caller and returns when its stream began, zero if it left before.
func (l *competingLoad) attempt(h *Handler, p *competingProfile) (begun time.Time, failure *outcome.Failure) {
	now := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), max(2*time.Second, 4*p.Objective))
	defer cancel()
	q := &request{
		Inbound: Inbound{PromptTokens: p.prompt, LikelyAnswerTokens: p.events * enginePass}, arrival: now, deadline: now.Add(callerTimeout),
		config: l.config, profile: &p.Profile, priority: p.Priority, service: competingService, sendGuard: dispatch.NewSendGuard("", true, h.Invariants),
	}
	h.classify(q)
	g := &generation{h: h, q: q, table: h.Pools.of(competingService)}
	reservation, failure := g.admit(ctx)
	for failure == nil {
		g.sends.Add(1)
		g.sentAt = time.Now()
		full := l.engines.run(ctx, reservation.Path(), p.prompt, p.events, func() { begun, g.headSent = time.Now(), true; g.recordFirstEvent() })
		reservation.Release(full == nil)
		h.Admission.Finished(competingService, time.Since(g.sentAt))
		h.Admission.Wake(competingService)
		if full == nil {
			return begun, nil
		}
		g.excluded.add(full.Key())
		g.table.RecordRefusal(full.Replica)
		reservation, failure = g.nextReservation(ctx, &notRunError{Address: full.Address})
	}
	return begun, failure
}

// call is one caller, who retries once as told.
func (l *competingLoad) call(h *Handler, at int) {
	p, arrived := &competingProfiles[at], time.Now()
	begun, refusal := l.attempt(h, p)
	again := refusal
	if refusal != nil && refusal.RetryAfter <= callerTimeout/3 {
		time.Sleep(refusal.RetryAfter)
		begun, again = l.attempt(h, p)
	}
	if arrived.Sub(l.began) < warmUp {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t := &l.tallies[at]
	t.callers++
	if refusal != nil {
		t.refused++
	}
	switch {
	case again != nil:
		t.refusedTwice++
	case begun.IsZero():
	case begun.Sub(arrived) <= p.Objective:
		t.inTime++
	default:
		t.late++
	}
}

// run sends a multiple of the streams that the replicas carry.
func (l *competingLoad) run(factor float64) [3]competingTally {
	l.calls.Go(l.reportLoads)
	for time.Since(l.began) < competingTime {
		time.Sleep(time.Duration(l.random.ExpFloat64() / (factor * carriedStreams) * float64(time.Second)))
		at, draw := 0, l.random.Float64()
		for ; at < 2 && draw >= competingProfiles[at].part; at++ {
			draw -= competingProfiles[at].part
		}
		vm := xxhash.Sum64String(fmt.Sprint("caller-", l.random.IntN(competingCallers))) % uint64(len(l.vms))
		l.calls.Go(func() { l.call(l.vms[vm], at) })
	}
	l.calls.Wait()
	return l.tallies
}

// runCompetingLoad logs what the callers get, so that implementations can be compared.
func runCompetingLoad(t *testing.T, vms int, factor float64) (tallies [3]competingTally, all competingTally) {
	synctest.Test(t, func(t *testing.T) {
		tallies = newCompetingLoad(vms, competingSeed).run(factor)
		for i, c := range tallies {
			all = competingTally{all.callers + c.callers, all.inTime + c.inTime, all.late + c.late, all.refused + c.refused, all.refusedTwice + c.refusedTwice}
			t.Logf("seed %d, %d VMs, load %.1f, %s: %+v, in time %.3f, served %.3f", competingSeed, vms, factor, competingProfiles[i].Name, c, c.partInTime(), c.served())
		}
		t.Logf("seed %d, %d VMs, load %.1f, all: %+v, in time %.3f, served %.3f", competingSeed, vms, factor, all, all.partInTime(), all.served())
	})
	return tallies, all
}

// Guards against limits that keep the most urgent requests from capacity that is not short.
func TestMostUrgentAreInTimeBelowTheCarriedLoad(t *testing.T) {
	t.Parallel()
	if tallies, _ := runCompetingLoad(t, 27, 0.8); tallies[0].partInTime() < 0.95 {
		t.Errorf("load 0.8: %.3f of the most urgent in time", tallies[0].partInTime())
	}
}

// Guards against an overload in which the most urgent requests are late or refused, and in which
// late requests take the place of those that could be in time.
func TestMostUrgentAreInTimeInAnOverload(t *testing.T) {
	for _, vms := range []int{27, 65} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			t.Parallel()
			_, carried := runCompetingLoad(t, vms, 1)
			tallies, all := runCompetingLoad(t, vms, 1.3)
			if part := tallies[0].partInTime(); part < 0.95 {
				t.Errorf("load 1.3: %.3f of the most urgent in time", part)
			}
			if all.inTime*10 < carried.inTime*9 {
				t.Errorf("load 1.3: %d in time, %d at load 1.0", all.inTime, carried.inTime)
			}
		})
	}
}

// Guards against a profile that is starved, and against less urgent requests that are served more
// often than urgent ones.
func TestNoProfileIsStarvedInAnOverload(t *testing.T) {
	t.Parallel()
	tallies, all := runCompetingLoad(t, 27, 2)
	for i, c := range tallies {
		if c.served() < all.served()/3 {
			t.Errorf("load 2.0: %.3f of %s served, %.3f of all", c.served(), competingProfiles[i].Name, all.served())
		}
	}
	if first, last := tallies[0].served(), tallies[2].served(); first < last {
		t.Errorf("load 2.0: %.3f of the most urgent served, %.3f of the least urgent", first, last)
	}
}
