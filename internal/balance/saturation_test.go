package balance

import (
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/invariant"
)

const (
	saturationSlots = 16
	saturationRetry = 100 * time.Millisecond
	urgentInterval  = 10 * time.Millisecond
)

// saturation is a herd simulation in which the VMs always have more requests: each VM takes
// every slot that its balancer grants. A target refuses requests for which it has no slot.
type saturation struct {
	herd
	balancers []*Balancer
	accepted  []int
	busy      int
	drawn     config.Urgency
	urgent    int
	delayed   int
	area      float64
	changed   time.Duration
	working   int
}

func newSaturation(vms int, f faults) *saturation {
	s := &saturation{accepted: make([]int, vms), drawn: config.Urgent, herd: herd{random: rand.New(rand.NewPCG(5, 6)), length: herdTableLength}}
	for vm := range vms {
		b := New(Settings{random: s.random.IntN, faults: f}, invariant.Strict())
		b.Update(services(herdTargets, saturationSlots))
		if vms > 1 {
			b.SetSubset(vms, vm)
		}
		s.balancers = append(s.balancers, b)
		s.choosers = append(s.choosers, &balancerChooser{b, true})
	}
	return s
}

// draw lets one VM send requests until it finds no slot.
func (s *saturation) draw(vm int) {
	for range herdTargets * saturationSlots {
		slot, err := s.balancers[vm].Pick(Query{Pool: "svc", Urgency: s.drawn})
		if err != nil {
			return
		}
		s.send(vm, slot)
	}
}

func (s *saturation) send(vm int, slot *Slot) {
	target := herdIndex(slot.Target().Name)
	if s.load[target] >= saturationSlots {
		s.count(&s.busy)
		slot.Release(ResultNeutral)
		s.balancers[vm].ReportBusy(slot.Target().Name)
		return
	}
	s.count(&s.accepted[vm])
	s.change(target, 1)
	s.after(s.exponential(herdService), func() {
		s.change(target, -1)
		slot.Release(ResultOK)
		s.draw(vm)
	})
}

// arriveUrgent sends urgent requests from random VMs and counts those that find no slot at the
// first attempt.
func (s *saturation) arriveUrgent() {
	s.after(s.exponential(urgentInterval), s.arriveUrgent)
	vm := s.random.IntN(len(s.balancers))
	s.count(&s.urgent)
	slot, err := s.balancers[vm].Pick(Query{Pool: "svc", Urgency: config.Urgent})
	if err != nil {
		s.count(&s.delayed)
		return
	}
	target := herdIndex(slot.Target().Name)
	if s.load[target] >= saturationSlots {
		s.count(&s.delayed)
		slot.Release(ResultBusy)
		return
	}
	s.change(target, 1)
	s.after(urgentService, func() {
		s.change(target, -1)
		slot.Release(ResultOK)
	})
}

func (s *saturation) count(counter *int) {
	if s.now > herdWarmUp {
		*counter++
	}
}

func (s *saturation) change(target, delta int) {
	if s.now > herdWarmUp {
		s.area += float64(s.working) * (s.now - max(s.changed, herdWarmUp)).Seconds()
	}
	s.changed = s.now
	s.working += delta
	s.load[target] += delta
}

// retry makes the VM look for slots regularly, as admission does.
func (s *saturation) retry(vm int) {
	s.draw(vm)
	s.after(saturationRetry, func() { s.retry(vm) })
}

// saturate returns the fraction of the slots in use, the fraction of requests that a target
// refused, and the least number of requests that a VM got, relative to the mean. The VMs begin
// one after another; the first one finds all slots free and takes them.
func saturate(t *testing.T, vms int, f faults) (used, refused, least float64) {
	synctest.Test(t, func(t *testing.T) {
		s := newSaturation(vms, f)
		for vm := range vms {
			s.after(time.Duration(vm)*saturationRetry, func() { s.retry(vm) })
		}
		s.run()
		whole := float64(herdTargets*saturationSlots) * (herdTableLength - herdWarmUp).Seconds()
		accepted := 0
		for _, n := range s.accepted {
			accepted += n
		}
		used = s.area / whole
		refused = float64(s.busy) / float64(s.busy+accepted)
		least = float64(slices.Min(s.accepted)*vms) / float64(accepted)
	})
	t.Logf("%2d VMs: %.1f%% of the slots used, %.1f%% of the requests refused as busy, the least VM got %.2f of the average",
		vms, used*100, refused*100, least)
	return used, refused, least
}

// Several VMs have more requests than the targets can serve and share the slots with the help
// of outdated reports and counts. Nearly all slots must be in use, few requests may reach a
// target without a free slot, and the first VM must not keep all of them.
func TestVMsShareSlotsUnderSaturation(t *testing.T) {
	sizes := []int{6}
	if *herdTable {
		sizes = []int{1, 2, 6, 64}
	}
	for _, vms := range sizes {
		used, refused, least := saturate(t, vms, faults{})
		if vms <= 6 && (used < 0.95 || refused > 0.05 || least < 0.7) {
			t.Errorf("%d VMs: %.2f used, %.2f refused, %.2f for the least", vms, used, refused, least)
		}
	}
	if _, _, least := saturate(t, 6, faults{noClaims: true}); least > 0.2 {
		t.Errorf("without claims the least VM still got %.2f of the average", least)
	}
}

// urgentDelayed makes six VMs fill the targets with bulk requests and returns the fraction of
// urgent requests that found no slot at the first attempt.
func urgentDelayed(t *testing.T, f faults) (delayed float64) {
	synctest.Test(t, func(t *testing.T) {
		s := newSaturation(6, f)
		s.drawn = config.Bulk
		for vm := range s.balancers {
			s.after(time.Duration(vm)*saturationRetry, func() { s.retry(vm) })
		}
		s.after(0, s.arriveUrgent)
		s.run()
		delayed = float64(s.delayed) / float64(s.urgent)
		t.Logf("headroom %t: %.2f%% of %d urgent requests found no slot at once, %.1f%% of the slots in use",
			!f.noHeadroom, delayed*100, s.urgent,
			s.area/(herdTargets*saturationSlots*(herdTableLength-herdWarmUp).Seconds())*100)
	})
	return delayed
}

// Six VMs have more bulk requests than the targets can serve and learn of each other's requests
// late. Together they must still leave the slots for urgent requests free.
func TestBulkOfSeveralVMsLeavesHeadroom(t *testing.T) {
	if delayed := urgentDelayed(t, faults{}); delayed > 0.05 {
		t.Errorf("%.3f of the urgent requests found no slot", delayed)
	}
	if delayed := urgentDelayed(t, faults{noHeadroom: true}); delayed < 0.2 {
		t.Errorf("without headroom only %.3f of the urgent requests found no slot", delayed)
	}
}
