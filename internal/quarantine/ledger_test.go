package quarantine

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"geraniumcroft/internal/incarnation"
)

var start = time.Unix(1e9, 0)

func replica(i int) incarnation.Key { return incarnation.Key{ID: fmt.Sprint("replica-", i), Born: 1} }

func digestOf(i int) Digest { return DigestOf(Content{Body: []byte(fmt.Sprint(i))}) }

// Guards against a request that is quarantined because several VMs report the crash of one replica
// incarnation.
func TestCrashSeenByManyVMsCountsOnce(t *testing.T) {
	l := NewLedger(DefaultSettings, start)
	d := digestOf(1)
	for range 5 {
		l.RecordCrash(RequestIdentity(d), replica(1), start)
		l.RecordCrash(RequestIdentity(d), incarnation.Key{ID: "replica-1"}, start) // this VM does not know the start time
	}
	if st := l.Lookup(d, start); st.Crashes != 1 {
		t.Errorf("%+v", st)
	}
	l.RecordCrash(RequestIdentity(d), incarnation.Key{ID: "replica-1", Born: 2}, start)
	if st := l.Lookup(d, start); st.Crashes != 2 {
		t.Errorf("a later incarnation: %+v", st)
	}
}

// quarantined returns a ledger that quarantined the request at start.
func quarantined(d Digest) *Ledger {
	l := NewLedger(DefaultSettings, start)
	for i := range DefaultSettings.CrashThreshold {
		l.RecordCrash(RequestIdentity(d), replica(i), start)
	}
	return l
}

// Guards against a quarantine that ends although callers still send the request, and against one that
// begins from zero crashes after it has expired.
func TestQuarantineIsExtendedByRequests(t *testing.T) {
	d := digestOf(1)
	l, now := quarantined(d), start
	for range 10 {
		now = now.Add(DefaultSettings.QuarantineTTL / 2)
		if !l.Lookup(d, now).Quarantined {
			t.Fatalf("not quarantined any more after %s", now.Sub(start))
		}
		l.RecordRefusal(d, now)
	}
	now = now.Add(DefaultSettings.QuarantineTTL)
	if st := l.Lookup(d, now); st.Quarantined || st.Crashes != DefaultSettings.CrashThreshold-1 {
		t.Errorf("after QuarantineTTL without a request: %+v", st)
	}
	l.RecordCrash(RequestIdentity(d), replica(99), now)
	if !l.Lookup(d, now).Quarantined {
		t.Error("not quarantined after one more crash")
	}
}

// Guards against a request that stays suspected although a run of it was successful.
func TestSuccessfulRunClearsRequest(t *testing.T) {
	d := digestOf(1)
	l := quarantined(d)
	if !l.RecordSuccess(RequestIdentity(d), start) || l.Lookup(d, start).Crashes != 0 {
		t.Errorf("%+v", l.Lookup(d, start))
	}
	l.RecordCrash(RequestIdentity(d), replica(50), start.Add(time.Second))
	if st := l.Lookup(d, start.Add(time.Second)); st.Crashes != 0 {
		t.Errorf("after a crash within SuccessTTL: %+v", st)
	}
	later := start.Add(2 * DefaultSettings.SuccessTTL)
	l.RecordCrash(RequestIdentity(d), replica(51), later)
	if st := l.Lookup(d, later); st.Crashes != 1 {
		t.Errorf("after a crash past SuccessTTL: %+v", st)
	}
}

// Guards against records that grow without limit, and against a quarantined request that is evicted
// by requests with fewer crashes.
func TestLedgerIsBounded(t *testing.T) {
	settings := DefaultSettings
	settings.MaxRecords, settings.MaxSuccesses = 10, 10
	l := NewLedger(settings, start)
	culprit := digestOf(-1)
	for i := range settings.CrashThreshold {
		l.RecordCrash(RequestIdentity(culprit), replica(i), start)
	}
	for i := range 1000 {
		l.RecordCrash(RequestIdentity(digestOf(i)), replica(i), start.Add(time.Duration(i)))
		l.RecordSuccess(RequestIdentity(digestOf(10_000+i)), start)
	}
	if reports, _ := l.Since(0, start); len(reports) > settings.MaxRecords {
		t.Errorf("%d requests are kept", len(reports))
	}
	if !l.Lookup(culprit, start).Quarantined {
		t.Error("many other requests evicted a quarantined one")
	}
	for i := range 100 {
		l.RecordCrash(RequestIdentity(culprit), replica(100+i), start)
	}
	if crashes := l.Lookup(culprit, start).Crashes; crashes > maxCrashes {
		t.Errorf("%d crashes are kept", crashes)
	}
}

// Guards against VMs whose ledgers disagree permanently about a request because reports arrived late,
// twice or in a different order.
func TestLedgersAgreeWhateverTheOrderOfReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := make([]*Ledger, rapid.IntRange(2, 5).Draw(t, "vms"))
		for i := range vms {
			vms[i] = NewLedger(DefaultSettings, start)
		}
		type sent struct {
			reports []Report
			epoch   time.Time
		}
		var inFlight []sent
		now := start
		crashes := map[Digest]map[incarnation.Key]time.Time{}
		cleared := map[Digest]bool{}
		// Where requests share replicas, a crash that one of them explains does not count against the others.
		sharedReplicas := rapid.Bool().Draw(t, "shared replicas")
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
			vm, d := vms[rapid.IntRange(0, len(vms)-1).Draw(t, "vm")], digestOf(rapid.IntRange(0, 2).Draw(t, "request"))
			firstReplica := 0
			if !sharedReplicas {
				firstReplica = int(d[0]) << 8
			}
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				vm.RecordSuccess(RequestIdentity(d), now)
				cleared[d] = true
			case 1, 2, 3, 4:
				k := replica(firstReplica + rapid.IntRange(0, 4).Draw(t, "replica"))
				vm.RecordCrash(RequestIdentity(d), k, now)
				if crashes[d] == nil {
					crashes[d] = map[incarnation.Key]time.Time{}
				}
				if _, known := crashes[d][k]; !known {
					crashes[d][k] = now
				}
			case 5, 6:
				inFlight = append(inFlight, sent{vm.Reports(start, d), start})
			default:
				if len(inFlight) > 0 {
					m := inFlight[rapid.IntRange(0, len(inFlight)-1).Draw(t, "message")]
					vm.Merge(m.reports, m.epoch, now)
				}
			}
		}
		exchange(vms, now)
		for i := range 3 {
			d := digestOf(i)
			want := vms[0].Lookup(d, now)
			for _, vm := range vms[1:] {
				if got := vm.Lookup(d, now); got.Crashes != want.Crashes || got.Quarantined != want.Quarantined {
					t.Fatalf("request %d: %+v and %+v", i, want, got)
				}
			}
			if sharedReplicas {
				if expected := culpritsOf(crashes); len(cleared) == 0 && want.Quarantined != expected[d] {
					t.Fatalf("request %d: %+v after crashes at %v", i, want, crashes)
				}
				continue
			}
			if !cleared[d] && want.Crashes != len(crashes[d]) {
				t.Fatalf("request %d: %d crashes are counted of %d", i, want.Crashes, len(crashes[d]))
			}
			thresholdReached := want.Crashes >= DefaultSettings.CrashThreshold
			if almost := want.Crashes == DefaultSettings.CrashThreshold-1; almost && cleared[d] {
				thresholdReached = want.Quarantined // which crashes were cleared depends on the order
			} else if almost {
				thresholdReached = spanOfTimes(crashes[d]) >= DefaultSettings.MinCrashSpacing
			}
			if want.Crashes > len(crashes[d]) || want.Quarantined != thresholdReached {
				t.Fatalf("request %d: %+v after crashes at %v", i, want, crashes[d])
			}
		}
	})
}

// culpritsOf returns the requests that are to be quarantined, by their crashes.
func culpritsOf(crashes map[Digest]map[incarnation.Key]time.Time) map[Digest]bool {
	enough := func(of map[incarnation.Key]time.Time) bool {
		return len(of) >= DefaultSettings.CrashThreshold || len(of) == DefaultSettings.CrashThreshold-1 && spanOfTimes(of) >= DefaultSettings.MinCrashSpacing
	}
	order := slices.SortedFunc(maps.Keys(crashes), func(a, b Digest) int {
		return cmp.Or(len(crashes[b])-len(crashes[a]), bytes.Compare(a[:], b[:]))
	})
	culprits, explained := map[Digest]bool{}, map[incarnation.Key]bool{}
	for _, d := range order {
		left := maps.Clone(crashes[d])
		maps.DeleteFunc(left, func(k incarnation.Key, _ time.Time) bool { return explained[k] })
		if enough(left) {
			culprits[d] = true
			for k := range crashes[d] {
				explained[k] = true
			}
		}
	}
	return culprits
}

// spanOfTimes returns the time between the first and the last crash.
func spanOfTimes(crashes map[incarnation.Key]time.Time) time.Duration {
	times := slices.SortedFunc(maps.Values(crashes), time.Time.Compare)
	return times[len(times)-1].Sub(times[0])
}

// Guards against a culprit that may crash a third replica although two crashes at different times are
// evidence enough, and against a quarantine of innocent requests that were on two replicas which
// crashed at the same time.
func TestTwoEndsApartAreEnough(t *testing.T) {
	for name, c := range map[string]struct {
		apart       time.Duration
		quarantined bool
	}{
		"together":        {0, false},
		"almost together": {DefaultSettings.MinCrashSpacing - time.Millisecond, false},
		"apart":           {DefaultSettings.MinCrashSpacing, true},
	} {
		l, d := NewLedger(DefaultSettings, start), digestOf(1)
		for i := range DefaultSettings.CrashThreshold - 1 {
			l.RecordCrash(RequestIdentity(d), replica(i), start.Add(time.Duration(i)*c.apart))
		}
		if st := l.Lookup(d, start.Add(c.apart)); st.Quarantined != c.quarantined {
			t.Errorf("%s: %+v", name, st)
		}
	}
}

// partIdentity returns the identity of the nth part of a prompt.
func partIdentity(n int) Identity {
	parts := make([]string, n)
	for i := range parts {
		parts[i] = fmt.Sprint("part ", i+1)
	}
	return PartIdentities("drafts", parts)[n-1]
}

// recordApart records a crash of each of the replicas, MinCrashSpacing apart, and returns the time of the last.
func recordApart(l *Ledger, replicas []int, ids ...Identity) time.Time {
	now := start
	for i, r := range replicas {
		now = start.Add(time.Duration(i) * DefaultSettings.MinCrashSpacing)
		for _, id := range ids {
			l.RecordCrash(id, replica(r), now)
		}
	}
	return now
}

// Guards against innocent parts that are refused with the culprit: those that crashed replicas share with
// it, and those of its requests that other requests have too. One more crash tells apart what always came
// together.
func TestCrashesOfACulpritCountAgainstNoOther(t *testing.T) {
	l := NewLedger(DefaultSettings, start)
	shared, culprit, bystander := partIdentity(1), partIdentity(2), RequestIdentity(digestOf(1))
	recordApart(l, []int{1, 2}, bystander)
	now := recordApart(l, []int{1, 2, 3}, shared, culprit)
	for name, c := range map[string]struct {
		id          Identity
		quarantined bool
	}{"culprit": {culprit, true}, "part before it in all of its prompts": {shared, false}, "request on two of the replicas": {bystander, false}} {
		if st := l.Lookup(c.id.Digest, now); st.Quarantined != c.quarantined {
			t.Errorf("%s: %+v", name, st)
		}
	}
	l.RecordCrash(shared, replica(4), now.Add(time.Second))
	if !l.Lookup(shared.Digest, now.Add(time.Second)).Quarantined {
		t.Error("a part is not quarantined though a replica crashed under it without the other one")
	}
}

// Guards against a popular part that is quarantined because many replicas that run it crash at once, and against
// one that is not although they crash one after the other, or all but one of ten runs do.
func TestPartTakesCrashesAtDifferentTimes(t *testing.T) {
	id := partIdentity(1)
	together, apart, mostly := NewLedger(DefaultSettings, start), NewLedger(DefaultSettings, start), NewLedger(DefaultSettings, start)
	for i := range 10 {
		together.RecordCrash(id, replica(i), start.Add(time.Duration(i)*time.Millisecond))
	}
	now := recordApart(apart, []int{1, 2, 3}, id)
	mostly.RecordSuccess(id, start)
	last := recordApart(mostly, []int{1, 2, 3, 4}, id)
	for name, c := range map[string]struct {
		ledger      *Ledger
		at          time.Time
		quarantined bool
	}{"together": {together, start, false}, "apart": {apart, now, true}, "after a run that went well": {mostly, last, true}} {
		if st := c.ledger.Lookup(id.Digest, c.at); st.Quarantined != c.quarantined {
			t.Errorf("%s: %+v", name, st)
		}
	}
}

// Guards against a part that is taken for a request after a VM of an earlier version, which knows no parts, has
// passed its record on.
func TestPartIsKnownAgainAfterAnEarlierVersionPassedItOn(t *testing.T) {
	id, l, other := partIdentity(2), NewLedger(DefaultSettings, start), NewLedger(DefaultSettings, start)
	now := recordApart(l, []int{1, 2}, id)
	reports := l.Reports(start, id.Digest)
	stripped := slices.Clone(reports)
	stripped[0].Part, stripped[0].Position = "", 0
	other.Merge(stripped, start, now)
	other.Merge(reports, start, now)
	if st := other.Lookup(id.Digest, now); st.Quarantined || st.Crashes != 2 {
		t.Errorf("%+v", st)
	}
	if got := other.Reports(start, id.Digest); len(got) != 1 || got[0].Part != id.Part || got[0].Position != id.Position {
		t.Errorf("%+v", got)
	}
}

// Guards against VMs that disagree about the culprit because they have seen one part at different positions of
// prompts.
func TestVMsAgreeOnThePositionOfAPart(t *testing.T) {
	id := partIdentity(1)
	for _, positions := range [][]int{{1, 3, 2}, {3, 1, 2}, {2, 1, 3}} {
		fleet := make([]*Ledger, len(positions))
		for i, position := range positions {
			fleet[i] = NewLedger(DefaultSettings, start)
			fleet[i].RecordCrash(Identity{Digest: id.Digest, Part: id.Part, Position: position}, replica(i), start)
		}
		exchange(fleet, start)
		for i, l := range fleet {
			if got := l.Reports(start, id.Digest)[0].Position; got != 3 {
				t.Errorf("positions %v: VM %d uses %d", positions, i, got)
			}
		}
	}
}

// Guards against a popular part that stays quarantined on all VMs because the crashes were seen by VMs on which it
// had not yet run well.
func TestSuccessfulRunsElsewhereAcquitAPart(t *testing.T) {
	id, accuser, other := partIdentity(1), NewLedger(DefaultSettings, start), NewLedger(DefaultSettings, start)
	for range DefaultSettings.MaxExcuses {
		other.RecordSuccess(id, start)
	}
	now := recordApart(accuser, []int{1, 2, 3}, id)
	if _, acquitted := other.Merge(accuser.Reports(start, id.Digest), start, now); !slices.Equal(acquitted, []Digest{id.Digest}) {
		t.Fatalf("acquitted: %v", acquitted)
	}
	accuser.Merge(other.Reports(start, id.Digest), start, now)
	if st := accuser.Lookup(id.Digest, now); st.Crashes != 0 {
		t.Errorf("%+v", st)
	}
}

// Guards against a part that ran well on all VMs until now and crashes replica after replica from now on, as
// with a new version of the model: each VM would excuse some of the crashes that the others have excused.
func TestPartThatWasSoundIsQuarantined(t *testing.T) {
	const vms, allowed = 6, 8
	id, fleet := partIdentity(1), make([]*Ledger, vms)
	for i := range fleet {
		fleet[i] = NewLedger(DefaultSettings, start)
		for range DefaultSettings.MaxExcuses {
			fleet[i].RecordSuccess(id, start)
		}
	}
	now, crashes := start, 0
	for ; !fleet[0].Lookup(id.Digest, now).Quarantined && crashes <= allowed; crashes++ {
		now = now.Add(600 * time.Millisecond)
		fleet[crashes%vms].RecordCrash(id, replica(crashes), now)
		exchange(fleet, now)
	}
	if crashes > allowed {
		t.Errorf("not quarantined after %d crashes", crashes)
	}
	fleet[1].RecordSuccess(id, now)
	exchange(fleet, now)
	if st := fleet[0].Lookup(id.Digest, now); st.Crashes != 0 {
		t.Errorf("after another successful run: %+v", st)
	}
}

// exchange merges the reports of all VMs into each other until none has changes for another one.
func exchange(vms []*Ledger, now time.Time) {
	for range 2 * len(vms) {
		for _, to := range vms {
			for i := range vms {
				reports, _ := vms[i].Since(0, start)
				to.Merge(reports, start, now)
			}
		}
	}
}
