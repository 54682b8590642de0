package quarantine

import (
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

func TestOneEndSeenByManyCountsOnce(t *testing.T) {
	l := NewLedger(DefaultSettings, start)
	d := digestOf(1)
	for range 5 {
		l.RecordCrash(d, replica(1), start)
		l.RecordCrash(d, incarnation.Key{ID: "replica-1"}, start) // its start is not known there
	}
	if v := l.Lookup(d, start); v.Crashes != 1 {
		t.Errorf("%+v", v)
	}
	l.RecordCrash(d, incarnation.Key{ID: "replica-1", Born: 2}, start)
	if v := l.Lookup(d, start); v.Crashes != 2 {
		t.Errorf("a later incarnation: %+v", v)
	}
}

// quarantined returns a ledger that holds a request for the last time at start.
func quarantined(d Digest) *Ledger {
	l := NewLedger(DefaultSettings, start)
	for i := range DefaultSettings.CrashThreshold {
		l.RecordCrash(d, replica(i), start)
	}
	return l
}

func TestQuarantineLastsWhileTheRequestIsAskedFor(t *testing.T) {
	d := digestOf(1)
	l, now := quarantined(d), start
	for range 10 {
		now = now.Add(DefaultSettings.QuarantineTTL / 2)
		if !l.Lookup(d, now).Quarantined {
			t.Fatalf("not quarantined after %s", now.Sub(start))
		}
		l.RecordRefusal(d, now)
	}
	now = now.Add(DefaultSettings.QuarantineTTL)
	if v := l.Lookup(d, now); v.Quarantined || v.Crashes != DefaultSettings.CrashThreshold-1 {
		t.Errorf("after a time without: %+v", v)
	}
	l.RecordCrash(d, replica(99), now)
	if !l.Lookup(d, now).Quarantined {
		t.Error("not quarantined after one more end")
	}
}

func TestRunThatWentWellClearsARequest(t *testing.T) {
	d := digestOf(1)
	l := quarantined(d)
	if !l.RecordSuccess(d, start) || l.Lookup(d, start).Crashes != 0 {
		t.Errorf("%+v", l.Lookup(d, start))
	}
	l.RecordCrash(d, replica(50), start.Add(time.Second))
	if v := l.Lookup(d, start.Add(time.Second)); v.Crashes != 0 {
		t.Errorf("an end right after: %+v", v)
	}
	later := start.Add(2 * DefaultSettings.SuccessTTL)
	l.RecordCrash(d, replica(51), later)
	if v := l.Lookup(d, later); v.Crashes != 1 {
		t.Errorf("an end later: %+v", v)
	}
}

func TestLedgerIsBounded(t *testing.T) {
	settings := DefaultSettings
	settings.MaxRecords, settings.MaxSuccesses = 10, 10
	l := NewLedger(settings, start)
	culprit := digestOf(-1)
	for i := range settings.CrashThreshold {
		l.RecordCrash(culprit, replica(i), start)
	}
	for i := range 1000 {
		l.RecordCrash(digestOf(i), replica(i), start.Add(time.Duration(i)))
		l.RecordSuccess(digestOf(10_000+i), start)
	}
	if reports, _ := l.Since(0, start); len(reports) > settings.MaxRecords {
		t.Errorf("%d requests are kept", len(reports))
	}
	if !l.Lookup(culprit, start).Quarantined {
		t.Error("a caller with ever new requests drives out one that is quarantined")
	}
	for i := range 100 {
		l.RecordCrash(culprit, replica(100+i), start)
	}
	if ends := l.Lookup(culprit, start).Crashes; ends > maxEndsKept {
		t.Errorf("%d ends are kept", ends)
	}
}

// Guards against VMs that judge a request differently for good because reports came late, twice
// or in another order.
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
		var under []sent
		now := start
		ends := map[Digest]map[incarnation.Key]time.Time{}
		forgiven := map[Digest]bool{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
			vm, d := vms[rapid.IntRange(0, len(vms)-1).Draw(t, "vm")], digestOf(rapid.IntRange(0, 2).Draw(t, "request"))
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				vm.RecordSuccess(d, now)
				forgiven[d] = true
			case 1, 2, 3, 4:
				k := replica(rapid.IntRange(0, 4).Draw(t, "replica"))
				vm.RecordCrash(d, k, now)
				if ends[d] == nil {
					ends[d] = map[incarnation.Key]time.Time{}
				}
				if _, known := ends[d][k]; !known {
					ends[d][k] = now
				}
			case 5, 6:
				under = append(under, sent{vm.Reports(start, d), start})
			default:
				if len(under) > 0 {
					m := under[rapid.IntRange(0, len(under)-1).Draw(t, "message")]
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
			if !forgiven[d] && want.Crashes != len(ends[d]) {
				t.Fatalf("request %d: %d ends are counted of %d", i, want.Crashes, len(ends[d]))
			}
			enough := want.Crashes >= DefaultSettings.CrashThreshold
			if almost := want.Crashes == DefaultSettings.CrashThreshold-1; almost && forgiven[d] {
				enough = want.Quarantined // which ends were forgiven depends on the order
			} else if almost {
				enough = spanOf(ends[d]) >= DefaultSettings.MinCrashSpacing
			}
			if want.Crashes > len(ends[d]) || want.Quarantined != enough {
				t.Fatalf("request %d: %+v after ends at %v", i, want, ends[d])
			}
		}
	})
}

// spanOf is the time between the first and the last of some ends.
func spanOf(ends map[incarnation.Key]time.Time) time.Duration {
	times := slices.SortedFunc(maps.Values(ends), time.Time.Compare)
	return times[len(times)-1].Sub(times[0])
}

// Guards against a culprit that ends one replica more although two ended apart from each other,
// and against innocent requests that two replicas ended under in one moment.
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
			l.RecordCrash(d, replica(i), start.Add(time.Duration(i)*c.apart))
		}
		if v := l.Lookup(d, start.Add(c.apart)); v.Quarantined != c.quarantined {
			t.Errorf("%s: %+v", name, v)
		}
	}
}

// exchange lets VMs ask each other until nobody has news.
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
