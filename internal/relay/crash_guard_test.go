package relay

import (
	"context"
	"errors"
	"net"
	"net/url"
	"os"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/dispatch"
	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/outcome"
	"geraniumcroft/internal/quarantine"
)

// recordingNotifier records the digests that are published to other VMs.
type recordingNotifier struct{ digests []quarantine.Digest }

func (n *recordingNotifier) Publish(d quarantine.Digest) { n.digests = append(n.digests, d) }

func newTestGuard() (*crashGuard, *recordingNotifier) {
	notifier := &recordingNotifier{}
	guard := newCrashGuard(Options{
		Quarantine: quarantine.NewLedger(quarantine.DefaultSettings, time.Now()), QuarantineNotifier: notifier, Logger: zap.NewNop(), Reach: &fakeReach{},
	})
	guard.runAsync = func(do func()) { do() }
	guard.sleep = func(time.Duration) {}
	return guard, notifier
}

// fakeReach is a Reach.
type fakeReach struct{ cutOff bool }

func (r *fakeReach) CutOff() bool                                { return r.cutOff }
func (r *fakeReach) CutOffSince(context.Context, time.Time) bool { return r.cutOff }

func newTestRequest() *request {
	return &request{identities: []quarantine.Identity{quarantine.RequestIdentity(quarantine.Digest{1})}, sendGuard: dispatch.NewSendGuard("r", true, invariant.NewRegistry(func(invariant.Violation) {}))}
}

func refusedDial() error {
	return &url.Error{Op: "Get", URL: "http://192.0.2.1/", Err: &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}}
}

// Guards against taking a reset connection or a timeout for the end of a replica.
func TestOnlyRefusedConnectionCountsAsEnded(t *testing.T) {
	for name, c := range map[string]struct {
		results []error
		ended   bool
	}{
		"refused":                {[]error{refusedDial()}, true},
		"answered":               {[]error{nil}, false},
		"timeout, then refused":  {[]error{context.DeadlineExceeded, refusedDial()}, true},
		"timeout, then answered": {[]error{os.ErrDeadlineExceeded, nil}, false},
		"silent":                 {[]error{os.ErrDeadlineExceeded, os.ErrDeadlineExceeded}, false},
		"reset during the query": {[]error{syscall.ECONNRESET, nil}, false},
		"an invalid response":    {[]error{errors.New("status 500"), errors.New("status 500")}, false},
	} {
		t.Run(name, func(t *testing.T) {
			guard, notifier := newTestGuard()
			q, asked := newTestRequest(), 0
			guard.recordBrokenRun(q, incarnation.Key{ID: "a"}, func(context.Context) endedResult {
				asked++
				return endedResultOf(c.results[asked-1])
			})
			if got := guard.lookup(q).Crashes == 1; got != c.ended || (len(notifier.digests) == 1) != c.ended {
				t.Errorf("counted: %t, published: %d times", got, len(notifier.digests))
			}
			if asked != len(c.results) {
				t.Errorf("queried %d times", asked)
			}
		})
	}
}

// Guards against reporting a quarantined request as not run although it ran and crashed its
// replicas.
func TestQuarantinedRequestThatRanIsNotReportedAsNotRun(t *testing.T) {
	guard, _ := newTestGuard()
	fresh, sent := newTestRequest(), newTestRequest()
	if failure := guard.refusal(fresh); failure != nil {
		t.Fatalf("refused before a replica ended: %v", failure)
	}
	for _, id := range []string{"a", "b", "c"} {
		guard.recordBrokenRun(fresh, incarnation.Key{ID: id}, func(context.Context) endedResult { return endedYes })
	}
	if failure := guard.refusal(fresh); failure == nil || failure.Outcome != outcome.NotRun || failure.Reason != outcome.ReasonQuarantined || failure.RetryAfter <= 0 {
		t.Errorf("request not sent before: %+v", failure)
	}
	sent.sendGuard.BeginSend()
	if failure := guard.refusal(sent); failure == nil || failure.Outcome != outcome.Unknown {
		t.Errorf("request sent before: %+v", failure)
	}
}

// restartAfter returns a replica's next incarnation from the nth poll on, or never if nth is 0.
type restartAfter struct{ polls, nth int }

func (r *restartAfter) Newest(id string) incarnation.Key {
	r.polls++
	if r.nth > 0 && r.polls >= r.nth {
		return incarnation.Key{ID: id, Born: 2}
	}
	return incarnation.Key{ID: id, Born: 1}
}

// Guards against missing that a call crashed its replica because a supervisor restarted the replica
// and its address accepts connections again at once.
func TestRestartReportedByDiscoveryCountsAsEnd(t *testing.T) {
	const polls = int(restartTimeout/restartPollInterval) + 1
	for name, c := range map[string]struct {
		nth   int
		ended bool
	}{
		"known at once":                {1, true},
		"reported after a second":      {int(time.Second/restartPollInterval) + 1, true},
		"reported at the last poll":    {polls, true},
		"reported after the last poll": {polls + 1, false},
		"no restart at all":            {0, false},
	} {
		guard, _ := newTestGuard()
		guard.incarnations = &restartAfter{nth: c.nth}
		q := newTestRequest()
		guard.recordBrokenCall(q, incarnation.Key{ID: "a", Born: 1}, func(context.Context) endedResult { return endedNo })
		if got := guard.lookup(q).Crashes == 1; got != c.ended {
			t.Errorf("%s: counted: %t", name, got)
		}
	}
}

// Guards against reporting a request that is kept from the last replicas as not run although its
// replica crashed.
func TestSuspectedRequestThatRanIsNotReportedAsNotRun(t *testing.T) {
	guard, _ := newTestGuard()
	fresh, sent := newTestRequest(), newTestRequest()
	guard.recordBrokenRun(fresh, incarnation.Key{ID: "a"}, func(context.Context) endedResult { return endedYes })
	if failure := guard.lastEntryRefusal(fresh); failure.Outcome != outcome.NotRun || failure.RetryAfter <= defaultRetryAfter {
		t.Errorf("request not sent before: %+v", failure)
	}
	sent.sendGuard.BeginSend()
	if failure := guard.lastEntryRefusal(sent); failure.Outcome != outcome.Unknown {
		t.Errorf("request sent before: %+v", failure)
	}
}

// Guards against requests that are quarantined everywhere because the VM that sent them lost its link to
// all replicas, and one of these restarted meanwhile.
func TestReplicaThatEndsDuringACutDoesNotCountAgainstRequests(t *testing.T) {
	guard, notifier := newTestGuard()
	guard.reach = &fakeReach{cutOff: true}
	guard.incarnations = &restartAfter{nth: 1}
	for _, id := range []string{"a", "b", "c"} {
		guard.recordBrokenCall(newTestRequest(), incarnation.Key{ID: id, Born: 1}, func(context.Context) endedResult { return endedYes })
	}
	if status := guard.lookup(newTestRequest()); status.Crashes != 0 || len(notifier.digests) != 0 {
		t.Errorf("%+v, %d published", status, len(notifier.digests))
	}
}

// shortCut is a Reach of a VM that was cut off when a run broke, and not any more when it is asked again.
type shortCut struct{ fakeReach }

func (r *shortCut) CutOffSince(context.Context, time.Time) bool {
	was := r.cutOff
	r.cutOff = false
	return was
}

// Guards against a restart that is reported seconds later and counts against a request, although a short
// cut had broken its run.
func TestRestartReportedAfterAShortCutDoesNotCount(t *testing.T) {
	guard, _ := newTestGuard()
	guard.reach = &shortCut{fakeReach{cutOff: true}}
	guard.incarnations = &restartAfter{nth: 2}
	q := newTestRequest()
	guard.recordBrokenCall(q, incarnation.Key{ID: "a", Born: 1}, func(context.Context) endedResult { return endedUnknown })
	if status := guard.lookup(q); status.Crashes != 0 {
		t.Errorf("%+v", status)
	}
}
