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
	// endedPause is the pause before a replica that broke a run off, and did not answer the question
	// whether it still runs, is asked once more.
	endedPause = 100 * time.Millisecond
	// restartNews is for how long after a broken run discovery may tell of its replica's restart,
	// restartLook the pause between two looks.
	restartNews = 3 * time.Second
	restartLook = 250 * time.Millisecond
	// maxRestartWatches bounds the broken runs whose replicas' restarts are waited for.
	maxRestartWatches = 256
)

// QuarantineNotifier tells other VMs of a change of what this VM knows of a request.
type QuarantineNotifier interface {
	Publish(d quarantine.Digest)
}

// Incarnations tells which incarnation of a replica is the newest that is known.
type Incarnations interface {
	Newest(id string) incarnation.Key
}

// crashGuard keeps requests that crash the replicas that run them from being sent again.
type crashGuard struct {
	ledger *quarantine.Ledger
	news   QuarantineNotifier
	logger *zap.Logger
	// incarnations is nil where restarts are not looked up.
	incarnations Incarnations
	// later does something that no request waits for, and sleep waits in it.
	later func(func())
	sleep func(time.Duration)
	// watches is how many broken runs' replicas are being watched for a restart.
	watches atomic.Int32
}

func newCrashGuard(o Options) *crashGuard {
	return &crashGuard{
		ledger: o.Quarantine, news: o.QuarantineNotifier, logger: o.Logger, incarnations: o.Incarnations,
		later: func(do func()) { go do() }, sleep: time.Sleep,
	}
}

// judge says what is known of a request.
func (c *crashGuard) judge(q *request) quarantine.Status {
	return c.ledger.Lookup(q.digest, time.Now())
}

// refusal returns why a quarantined request is not sent, nil if it may be. One that was sent
// before is not told to have not run.
func (c *crashGuard) refusal(q *request) *outcome.Failure {
	verdict := c.judge(q)
	if !verdict.Quarantined {
		return nil
	}
	if c.ledger.RecordRefusal(q.digest, time.Now()) {
		c.news.Publish(q.digest)
	}
	q.story.add("request is quarantined", zap.Stringer("digest", q.digest), zap.Int("ends", verdict.Crashes),
		zap.Strings("replicas", c.ledger.CrashedReplicas(q.digest)), zap.Duration("left", verdict.Left))
	if q.boundary.MayHaveRun() {
		return outcome.Uncertain(outcome.ReasonTargetFailed, "the replicas that ran the request crashed")
	}
	return outcome.Refuse(outcome.ReasonQuarantined, "replicas crashed each time that they ran this request").WithRetryAfter(verdict.Left)
}

// spared is why a request that may crash replicas is not sent to one of the last that paths can
// begin at. One that was sent before is not told to have not run.
func (c *crashGuard) spared(q *request) *outcome.Failure {
	verdict := c.judge(q)
	q.story.add("request kept from the last replicas", zap.Stringer("digest", q.digest), zap.Int("ends", verdict.Crashes), zap.Duration("left", verdict.Left))
	if q.boundary.MayHaveRun() {
		return outcome.Uncertain(outcome.ReasonTargetFailed, "the replica that ran the request crashed")
	}
	return outcome.Refuse(outcome.ReasonSuspected, "a replica crashed under this request and too few others are left").WithRetryAfter(max(soon, verdict.Left))
}

// youngRun is how long a run must have brought events to clear its request.
func (c *crashGuard) youngRun() time.Duration { return c.ledger.CrashWindow() }

// ranWell notes that a replica has run a request without crashing.
func (c *crashGuard) ranWell(q *request) {
	if c.ledger.RecordSuccess(q.digest, time.Now()) {
		c.logger.Info("request no longer suspected of crashing replicas", zap.Stringer("digest", q.digest), zap.String("requestId", q.RequestID))
		c.news.Publish(q.digest)
	}
}

// broke notes that a young run broke off, if its replica has ended. The request waits for one
// question to the replica.
func (c *crashGuard) broke(q *request, replica incarnation.Key, ended func(context.Context) endedProbe) {
	switch ask(ended) {
	case endedYes:
		c.ended(q.RequestID, q.digest, replica)
	case endedUnknown:
		id, digest := q.RequestID, q.digest
		c.later(func() {
			c.sleep(endedPause)
			if ask(ended) == endedYes {
				c.ended(id, digest, replica)
			}
		})
	}
}

// brokeAt is broke for a run of a plain replica, which does not say which incarnation answers. One
// that was started again at once refuses nobody, so discovery's word is waited for.
func (c *crashGuard) brokeAt(q *request, replica incarnation.Key, ended func(context.Context) endedProbe) {
	c.broke(q, replica, ended)
	if c.incarnations == nil {
		return
	}
	id, digest := q.RequestID, q.digest
	if c.watches.Add(1) > maxRestartWatches {
		c.watches.Add(-1)
		c.logger.Warn("restart of a replica not watched for: too many broken runs", zap.String("requestId", id), zap.Stringer("replica", replica))
		return
	}
	c.later(func() {
		defer c.watches.Add(-1)
		if c.restarted(replica) {
			c.ended(id, digest, replica)
		}
	})
}

// restarted waits for discovery to tell of a later incarnation of the replica.
func (c *crashGuard) restarted(replica incarnation.Key) bool {
	for waited := time.Duration(0); ; waited += restartLook {
		if c.incarnations.Newest(replica.ID).Succeeds(replica) {
			return true
		}
		if waited >= restartNews {
			return false
		}
		c.sleep(restartLook)
	}
}

// ask asks a replica whether it has ended.
func ask(ended func(context.Context) endedProbe) endedProbe {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	return ended(ctx)
}

// ended notes that a replica ended under a young run.
func (c *crashGuard) ended(requestID string, d quarantine.Digest, replica incarnation.Key) {
	if !c.ledger.RecordCrash(d, replica, time.Now()) {
		return
	}
	verdict := c.ledger.Lookup(d, time.Now())
	c.logger.Warn("replica ended under a young run", zap.String("requestId", requestID), zap.Stringer("digest", d),
		zap.Stringer("replica", replica), zap.Int("ends", verdict.Crashes), zap.Bool("quarantined", verdict.Quarantined))
	c.news.Publish(d)
}

// endedProbe is what a question to a replica tells of whether it has ended.
type endedProbe uint8

const (
	// endedUnknown: it did not answer.
	endedUnknown endedProbe = iota
	// endedNo: the same incarnation answered.
	endedNo
	// endedYes: nobody listens at its address, or a later incarnation does.
	endedYes
)

// probeOf reads the error of a question. Silence is no end.
func probeOf(err error) endedProbe {
	switch {
	case err == nil:
		return endedNo
	case errors.Is(err, syscall.ECONNREFUSED):
		return endedYes
	}
	return endedUnknown
}

// engineEnded asks an engine whether it has ended since it was sent a request.
func (h *Handler) engineEnded(address string, replica incarnation.Key) func(context.Context) endedProbe {
	return func(context.Context) endedProbe {
		report, err := h.asking.report(address)
		if err == nil && (incarnation.Key{ID: replica.ID, Born: report.Born}).Succeeds(replica) {
			return endedYes
		}
		return probeOf(err)
	}
}

// targetEnded asks whether anybody listens at a plain replica's address.
func (h *Handler) targetEnded(address string) func(context.Context) endedProbe {
	return func(ctx context.Context) endedProbe {
		return probeOf(h.touch(ctx, address))
	}
}
