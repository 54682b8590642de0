package relay

import (
	"context"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/outcome"
	"geraniumcroft/internal/quarantine"
)

const (
	// recheckDelay is the delay after which a replica whose connection broke during a run, and that
	// did not answer whether it still runs, is queried once more.
	recheckDelay = 100 * time.Millisecond
	// restartTimeout is how long after a broken run discovery may report the restart of its
	// replica, restartPollInterval the time between two checks for it.
	restartTimeout      = 3 * time.Second
	restartPollInterval = 250 * time.Millisecond
	// reachTimeout bounds finding out whether this VM was cut off when a run broke.
	reachTimeout = time.Second
	// maxRestartWatches bounds the broken runs for which a restart of the replica is awaited at a
	// time.
	maxRestartWatches = 256
)

// QuarantineNotifier publishes a change of what this VM knows about a request to other VMs.
type QuarantineNotifier interface {
	Publish(d quarantine.Digest)
}

// Incarnations looks up the newest known incarnation of a replica.
type Incarnations interface {
	Newest(id string) incarnation.Key
}

// crashGuard prevents requests that crash the replicas running them from being sent again.
type crashGuard struct {
	ledger   *quarantine.Ledger
	notifier QuarantineNotifier
	logger   *zap.Logger
	// incarnations is nil if restarts are not looked up.
	incarnations Incarnations
	reach        Reach
	// runAsync runs a function that no request waits for; sleep is how that function waits.
	runAsync func(func())
	sleep    func(time.Duration)
	// watches counts the broken runs for which a restart of the replica is awaited.
	watches atomic.Int32
}

func newCrashGuard(o Options) *crashGuard {
	return &crashGuard{
		ledger: o.Quarantine, notifier: o.QuarantineNotifier, logger: o.Logger, incarnations: o.Incarnations, reach: o.Reach,
		runAsync: func(do func()) { go do() }, sleep: time.Sleep,
	}
}

// lookup returns what is known about a request: the status of that of its identities that restricts it
// most.
func (c *crashGuard) lookup(q *request) quarantine.Status {
	_, status := c.worstOf(q.identities)
	return status
}

// worstOf returns the identity that restricts a request most, with its status.
func (c *crashGuard) worstOf(identities []quarantine.Identity) (worst quarantine.Identity, status quarantine.Status) {
	now := time.Now()
	for i, id := range identities {
		if st := c.ledger.Lookup(id.Digest, now); i == 0 || st.Worse(status) {
			worst, status = id, st
		}
	}
	return worst, status
}

// refusal returns why a quarantined request is not sent, nil if it may be sent. A request that was
// sent before is not reported as not run.
func (c *crashGuard) refusal(q *request) *outcome.Failure {
	id, status := c.worstOf(q.identities)
	if !status.Quarantined {
		return nil
	}
	if c.ledger.RecordRefusal(id.Digest, time.Now()) {
		c.notifier.Publish(id.Digest)
	}
	q.decisionLog.add("request is quarantined", zap.Stringer("digest", id.Digest), zap.String("promptPart", id.Part), zap.Int("ends", status.Crashes),
		zap.Strings("replicas", c.ledger.CrashedReplicas(id.Digest)), zap.Duration("left", status.Left))
	if q.sendGuard.MayHaveRun() {
		return outcome.Uncertain(outcome.ReasonTargetFailed, "the replicas that ran the request crashed")
	}
	detail := "replicas crashed each time that they ran this request"
	if id.Part != "" {
		detail = "replicas crashed when they ran requests with a part of this prompt"
	}
	return outcome.Refuse(outcome.ReasonQuarantined, detail).WithRetryAfter(status.Left)
}

// lastEntryRefusal returns why a request that may crash replicas is not sent to one of the last
// replicas at which paths can begin. A request that was sent before is not reported as not run.
func (c *crashGuard) lastEntryRefusal(q *request) *outcome.Failure {
	id, status := c.worstOf(q.identities)
	q.decisionLog.add("request kept from the last replicas", zap.Stringer("digest", id.Digest), zap.String("promptPart", id.Part), zap.Int("ends", status.Crashes), zap.Duration("left", status.Left))
	if q.sendGuard.MayHaveRun() {
		return outcome.Uncertain(outcome.ReasonTargetFailed, "the replica that ran the request crashed")
	}
	return outcome.Refuse(outcome.ReasonSuspected, "a replica crashed under this request and too few others are left").WithRetryAfter(max(defaultRetryAfter, status.Left))
}

// crashWindow returns how long a run must have produced events to clear its request.
func (c *crashGuard) crashWindow() time.Duration { return c.ledger.CrashWindow() }

// runSucceeded records that a replica has run a request without crashing.
func (c *crashGuard) runSucceeded(q *request) {
	for _, id := range q.identities {
		if c.ledger.RecordSuccess(id, time.Now()) {
			c.logger.Info("request no longer suspected of crashing replicas", zap.Stringer("digest", id.Digest), zap.String("promptPart", id.Part),
				zap.String("requestId", q.RequestID))
			c.notifier.Publish(id.Digest)
		}
	}
}

// recordBrokenRun records that the connection broke within the crash window of a run, if the
// replica has ended. The request waits for the first query of the replica only.
func (c *crashGuard) recordBrokenRun(q *request, replica incarnation.Key, ended func(context.Context) endedResult) {
	run := newBrokenRun(q, replica)
	switch probeEnded(ended) {
	case endedYes:
		c.ended(run)
	case endedUnknown:
		c.runAsync(func() {
			c.sleep(recheckDelay)
			if probeEnded(ended) == endedYes {
				c.ended(run)
			}
		})
	}
}

// brokenRun is a run whose connection broke.
type brokenRun struct {
	requestID  string
	identities []quarantine.Identity
	replica    incarnation.Key
	brokeAt    time.Time
}

func newBrokenRun(q *request, replica incarnation.Key) brokenRun {
	return brokenRun{requestID: q.RequestID, identities: q.identities, replica: replica, brokeAt: time.Now()}
}

// recordBrokenCall is recordBrokenRun for a plain replica, which does not report its incarnation. A
// replica that was restarted at once does not refuse connections, so discovery is watched for the
// restart.
func (c *crashGuard) recordBrokenCall(q *request, replica incarnation.Key, ended func(context.Context) endedResult) {
	c.recordBrokenRun(q, replica, ended)
	if c.incarnations == nil {
		return
	}
	run := newBrokenRun(q, replica)
	if c.watches.Add(1) > maxRestartWatches {
		c.watches.Add(-1)
		c.logger.Warn("restart of a replica not watched for: too many broken runs", zap.String("requestId", run.requestID), zap.Stringer("replica", replica))
		return
	}
	c.runAsync(func() {
		defer c.watches.Add(-1)
		if !c.wasCutOff(run) && c.waitForRestart(replica) { // a short cut may have ended by then
			c.ended(run)
		}
	})
}

// waitForRestart waits for discovery to report a later incarnation of the replica, and returns
// whether it did within restartTimeout.
func (c *crashGuard) waitForRestart(replica incarnation.Key) bool {
	for waited := time.Duration(0); ; waited += restartPollInterval {
		if c.incarnations.Newest(replica.ID).Succeeds(replica) {
			return true
		}
		if waited >= restartTimeout {
			return false
		}
		c.sleep(restartPollInterval)
	}
}

// probeEnded queries whether a replica has ended.
func probeEnded(ended func(context.Context) endedResult) endedResult {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	return ended(ctx)
}

// ended records that a replica ended within the crash window of a run. Where this VM was cut off from the
// replicas meanwhile, that has broken the run, and the replica has ended for a reason of its own.
func (c *crashGuard) ended(run brokenRun) {
	if c.wasCutOff(run) {
		c.logger.Info("end of a replica not counted against a request: this VM was cut off", zap.String("requestId", run.requestID),
			zap.Stringer("replica", run.replica))
		return
	}
	now, changed := time.Now(), false
	for _, id := range run.identities {
		if c.ledger.RecordCrash(id, run.replica, now) {
			c.notifier.Publish(id.Digest)
			changed = true
		}
	}
	if !changed {
		return
	}
	id, status := c.worstOf(run.identities)
	c.logger.Warn("replica ended under a young run", zap.String("requestId", run.requestID), zap.Stringer("replica", run.replica),
		zap.Stringer("digest", id.Digest), zap.String("promptPart", id.Part), zap.Int("ends", status.Crashes), zap.Bool("quarantined", status.Quarantined))
}

// wasCutOff reports whether this VM was cut off from the replicas when a run broke.
func (c *crashGuard) wasCutOff(run brokenRun) bool {
	ctx, cancel := context.WithTimeout(context.Background(), reachTimeout)
	defer cancel()
	return c.reach.CutOffSince(ctx, run.brokeAt)
}

// endedResult is the result of a query whether a replica has ended.
type endedResult uint8

const (
	// endedUnknown means that the replica did not respond.
	endedUnknown endedResult = iota
	// endedNo means that the same incarnation responded.
	endedNo
	// endedYes means that nothing listens at the replica's address, or that a later incarnation
	// does.
	endedYes
)

// endedResultOf interprets the error of a query. A timeout does not prove that the replica has
// ended.
func endedResultOf(err error) endedResult {
	switch {
	case err == nil:
		return endedNo
	case errors.Is(err, syscall.ECONNREFUSED):
		return endedYes
	}
	return endedUnknown
}

// engineEnded returns a query whether an engine has ended since it was sent a request.
func (h *Handler) engineEnded(address string, replica incarnation.Key) func(context.Context) endedResult {
	return func(context.Context) endedResult {
		report, err := h.reportCache.report(address)
		if err == nil && (incarnation.Key{ID: replica.ID, Born: report.Born}).Succeeds(replica) {
			return endedYes
		}
		return endedResultOf(err)
	}
}

// targetEnded returns a query whether a plain replica has ended, by connecting to its address.
func (h *Handler) targetEnded(address string) func(context.Context) endedResult {
	return func(ctx context.Context) endedResult {
		return endedResultOf(h.probeConnect(ctx, address))
	}
}
