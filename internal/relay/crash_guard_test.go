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

// told collects what other VMs would be told.
type told struct{ digests []quarantine.Digest }

func (n *told) Publish(d quarantine.Digest) { n.digests = append(n.digests, d) }

func newTestGuard() (*crashGuard, *told) {
	news := &told{}
	guard := newCrashGuard(Options{
		Quarantine: quarantine.NewLedger(quarantine.DefaultSettings, time.Now()), QuarantineNotifier: news, Logger: zap.NewNop(),
	})
	guard.later = func(do func()) { do() }
	guard.sleep = func(time.Duration) {}
	return guard, news
}

func newTestRequest() *request {
	return &request{digest: quarantine.Digest{1}, boundary: dispatch.NewSendGuard("r", true, invariant.NewRegistry(func(invariant.Violation) {}))}
}

func refusedDial() error {
	return &url.Error{Op: "Get", URL: "http://192.0.2.1/", Err: &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}}
}

// Guards against resets and silence that are taken for the end of a replica.
func TestOnlyAReplicaThatIsGoneHasEnded(t *testing.T) {
	for name, c := range map[string]struct {
		answers []error
		ended   bool
	}{
		"refused":                     {[]error{refusedDial()}, true},
		"answered":                    {[]error{nil}, false},
		"silent, then refused":        {[]error{context.DeadlineExceeded, refusedDial()}, true},
		"silent, then answered":       {[]error{os.ErrDeadlineExceeded, nil}, false},
		"silent":                      {[]error{os.ErrDeadlineExceeded, os.ErrDeadlineExceeded}, false},
		"reset while it was asked":    {[]error{syscall.ECONNRESET, nil}, false},
		"an answer that is not right": {[]error{errors.New("status 500"), errors.New("status 500")}, false},
	} {
		t.Run(name, func(t *testing.T) {
			guard, news := newTestGuard()
			q, asked := newTestRequest(), 0
			guard.broke(q, incarnation.Key{ID: "a"}, func(context.Context) endedProbe {
				asked++
				return probeOf(c.answers[asked-1])
			})
			if got := guard.judge(q).Crashes == 1; got != c.ended || (len(news.digests) == 1) != c.ended {
				t.Errorf("counted: %t, others told: %d times", got, len(news.digests))
			}
			if asked != len(c.answers) {
				t.Errorf("asked %d times", asked)
			}
		})
	}
}

// Guards against "not run" being told of a request that ran and crashed its replicas.
func TestQuarantinedRequestThatRanIsNotToldAsNotRun(t *testing.T) {
	guard, _ := newTestGuard()
	fresh, sent := newTestRequest(), newTestRequest()
	if failure := guard.refusal(fresh); failure != nil {
		t.Fatalf("refused before any replica ended: %v", failure)
	}
	for _, id := range []string{"a", "b", "c"} {
		guard.broke(fresh, incarnation.Key{ID: id}, func(context.Context) endedProbe { return endedYes })
	}
	if failure := guard.refusal(fresh); failure == nil || failure.Outcome != outcome.NotRun || failure.Reason != outcome.ReasonQuarantined || failure.RetryAfter <= 0 {
		t.Errorf("a new attempt: %+v", failure)
	}
	sent.boundary.BeginSend()
	if failure := guard.refusal(sent); failure == nil || failure.Outcome != outcome.Unknown {
		t.Errorf("an attempt that was sent: %+v", failure)
	}
}

// restartAfter shows a replica's next incarnation from its nth look on, 0 for never.
type restartAfter struct{ looks, nth int }

func (r *restartAfter) Newest(id string) incarnation.Key {
	r.looks++
	if r.nth > 0 && r.looks >= r.nth {
		return incarnation.Key{ID: id, Born: 2}
	}
	return incarnation.Key{ID: id, Born: 1}
}

// Guards against a supervisor's restart, after which the address answers at once, hiding that a
// call crashed its replica.
func TestRestartThatDiscoveryTellsOfIsAnEnd(t *testing.T) {
	const looks = int(restartNews/restartLook) + 1
	for name, c := range map[string]struct {
		nth   int
		ended bool
	}{
		"known at once":     {1, true},
		"told a second on":  {int(time.Second/restartLook) + 1, true},
		"told by the last":  {looks, true},
		"told after it":     {looks + 1, false},
		"no restart at all": {0, false},
	} {
		guard, _ := newTestGuard()
		guard.incarnations = &restartAfter{nth: c.nth}
		q := newTestRequest()
		guard.brokeAt(q, incarnation.Key{ID: "a", Born: 1}, func(context.Context) endedProbe { return endedNo })
		if got := guard.judge(q).Crashes == 1; got != c.ended {
			t.Errorf("%s: counted: %t", name, got)
		}
	}
}

// Guards against "not run" being told of a request whose replica crashed, when it is kept from the
// last replicas.
func TestSuspectThatRanIsNotToldAsNotRun(t *testing.T) {
	guard, _ := newTestGuard()
	fresh, sent := newTestRequest(), newTestRequest()
	guard.broke(fresh, incarnation.Key{ID: "a"}, func(context.Context) endedProbe { return endedYes })
	if failure := guard.spared(fresh); failure.Outcome != outcome.NotRun || failure.RetryAfter <= soon {
		t.Errorf("a new attempt: %+v", failure)
	}
	sent.boundary.BeginSend()
	if failure := guard.spared(sent); failure.Outcome != outcome.Unknown {
		t.Errorf("an attempt that was sent: %+v", failure)
	}
}
