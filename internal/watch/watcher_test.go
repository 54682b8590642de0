package watch

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/engine"
)

const (
	interval = 500 * time.Millisecond
	rounds   = 20
)

// fakeTargets implements Engines and Services. A target whose address starts with "silent"
// never responds.
type fakeTargets struct {
	mu sync.Mutex // guards the fields below
	// calls counts the calls of Load by address, inFlight those that have not returned.
	calls, inFlight map[string]int
	starts          map[time.Time]int
	overlaps        int
}

func newFakeTargets() *fakeTargets {
	return &fakeTargets{calls: map[string]int{}, inFlight: map[string]int{}, starts: map[time.Time]int{}}
}

func (f *fakeTargets) Load(ctx context.Context, address string) (engine.LoadReport, error) {
	f.mu.Lock()
	f.calls[address]++
	f.starts[time.Now()]++
	if f.inFlight[address]++; f.inFlight[address] > 1 {
		f.overlaps++
	}
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		f.inFlight[address]--
		f.mu.Unlock()
	}()
	if strings.HasPrefix(address, "silent") {
		<-ctx.Done()
		return engine.LoadReport{}, ctx.Err()
	}
	return engine.LoadReport{Slots: 1}, nil
}

func (f *fakeTargets) CacheEvents(ctx context.Context, _ string, after uint64) (engine.CacheEvents, error) {
	return engine.CacheEvents{Events: []engine.CacheEvent{{Seq: after + 1}}}, ctx.Err()
}

// recordingSink records what was read.
type recordingSink struct {
	mu      sync.Mutex // guards the fields below
	reports map[string]int
	cache   []string
}

func (s *recordingSink) Report(target string, _ engine.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports[target]++
}

// CacheCursor requests the whole view of the target "lost".
func (s *recordingSink) CacheCursor(target string) (uint64, bool) {
	if target == "lost" {
		return 0, true
	}
	return 7, false
}

func (s *recordingSink) CacheEvents(target string, e engine.CacheEvents) {
	s.record("events of %s from %d", target, e.Events[0].Seq)
}

func (s *recordingSink) CacheView(target string, e engine.CacheEvents) {
	s.record("view of %s from %d", target, e.Events[0].Seq)
}

func (s *recordingSink) record(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cache = append(s.cache, fmt.Sprintf(format, args...))
}

// watchFor runs a watcher of the targets for count rounds of virtual time.
func watchFor(count int, watched func(string) bool, targets ...*config.Target) (*fakeTargets, *recordingSink) {
	snapshot := config.NewSnapshot()
	for _, target := range targets {
		snapshot.Targets[target.Name] = target
	}
	fake, sink := newFakeTargets(), &recordingSink{reports: map[string]int{}}
	w := New(Options{
		ConfigSource: config.NewStaticSource(snapshot), Engines: fake, Services: fake, Sink: sink,
		IsWatched: watched, Interval: interval,
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(count)*interval-time.Millisecond)
	defer cancel()
	w.Run(ctx)
	return fake, sink
}

func engineAt(name, address string) *config.Target {
	return &config.Target{Name: name, Address: address, Kind: config.KindEngine}
}

// A data centre is lost: a third of the engines go silent at once. The reports of the other
// engines must not be delayed, since the balancer gives less weight to older reports and would
// make poor choices just when it has the fewest targets. Readings of the silent ones time out
// and are repeated, but never overlap for one target.
func TestSilentTargetsCostTheirOwnReportsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var targets []*config.Target
		for i := range 200 {
			targets = append(targets, engineAt(fmt.Sprint("silent", i), fmt.Sprint("silent", i)))
		}
		for i := range 400 {
			targets = append(targets, engineAt(fmt.Sprint("live", i), fmt.Sprint("live", i)))
		}
		fake, sink := watchFor(rounds, nil, targets...)
		for i := range 400 {
			if got := sink.reports[fmt.Sprint("live", i)]; got != rounds {
				t.Fatalf("%d reports of a live target in %d rounds", got, rounds)
			}
		}
		for i := range 200 {
			if got := fake.calls[fmt.Sprint("silent", i)]; got < rounds/4 {
				t.Fatalf("a silent target was read %d times in %d rounds", got, rounds)
			}
		}
		if fake.overlaps > 0 {
			t.Errorf("%d readings of a target overlapped another one", fake.overlaps)
		}
	})
}

// If all targets were read in one burst, the VM's control path and the network would be busy
// for a moment and idle for the rest of the interval.
func TestReadingsAreSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var targets []*config.Target
		for i := range 50 {
			targets = append(targets, engineAt(fmt.Sprint(i), fmt.Sprint(i)))
		}
		fake, _ := watchFor(1, nil, targets...)
		for at, starts := range fake.starts {
			if starts > 1 {
				t.Fatalf("%d readings started at the same time, %s", starts, at)
			}
		}
		if len(fake.starts) != len(targets) {
			t.Errorf("%d readings of %d targets", len(fake.starts), len(targets))
		}
	})
}

// The whole cache view is read of an engine whose known view is no longer valid, and only new
// events of other engines. A service has no cache, and targets of other VMs are not read.
func TestWhatIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		isWatched := func(name string) bool { return name != "theirs" }
		fake, sink := watchFor(1, isWatched,
			engineAt("kept", "kept"), engineAt("lost", "lost"), engineAt("theirs", "theirs"),
			&config.Target{Name: "permits", Address: "permits", Kind: config.KindService})
		slices.Sort(sink.cache)
		if want := []string{"events of kept from 8", "view of lost from 1"}; !slices.Equal(sink.cache, want) {
			t.Errorf("read %q, want %q", sink.cache, want)
		}
		if sink.reports["permits"] != 1 || sink.reports["kept"] != 1 || fake.calls["theirs"] != 0 {
			t.Errorf("reports %v, calls %v", sink.reports, fake.calls)
		}
	})
}
