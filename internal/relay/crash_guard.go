package relay

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/outcome"
	"geraniumcroft/internal/quarantine"
)

// endedPause is the pause before a replica that broke a run off, and did not answer the question
// whether it still runs, is asked once more.
const endedPause = 100 * time.Millisecond

// News tells other VMs of a change of what this VM knows of a request.
type News interface {
	Tell(d quarantine.Digest)
}

// crashGuard keeps requests that crash the replicas that run them from being sent again.
type crashGuard struct {
	ledger *quarantine.Ledger
	news   News
	logger *zap.Logger
	// later does something that no request waits for.
	later func(func())
}

func newCrashGuard(o Options) *crashGuard {
	return &crashGuard{ledger: o.Quarantine, news: o.News, logger: o.Logger, later: func(do func()) { go do() }}
}

// judge says what is known of a request.
func (c *crashGuard) judge(q *request) quarantine.Verdict {
	return c.ledger.Judge(q.digest, time.Now())
}

// refusal returns why a quarantined request is not sent, nil if it may be. One that was sent
// before is not told to have not run.
func (c *crashGuard) refusal(q *request) *outcome.Failure {
	verdict := c.judge(q)
	if !verdict.Quarantined {
		return nil
	}
	if c.ledger.Refused(q.digest, time.Now()) {
		c.news.Tell(q.digest)
	}
	q.story.add("request is quarantined", zap.Stringer("digest", q.digest), zap.Int("ends", verdict.Ends),
		zap.Strings("replicas", c.ledger.Replicas(q.digest)), zap.Duration("left", verdict.Left))
	if q.boundary.MayHaveRun() {
		return outcome.Uncertain(outcome.ReasonTargetFailed, "the replicas that ran the request crashed")
	}
	return outcome.Refuse(outcome.ReasonQuarantined, "replicas crashed each time that they ran this request").WithRetryAfter(verdict.Left)
}

// youngRun is how long a run must have brought events to clear its request.
func (c *crashGuard) youngRun() time.Duration { return c.ledger.YoungRun() }

// ranWell notes that a replica has run a request without crashing.
func (c *crashGuard) ranWell(q *request) {
	if c.ledger.RanWell(q.digest, time.Now()) {
		c.logger.Info("request no longer suspected of crashing replicas", zap.Stringer("digest", q.digest), zap.String("requestId", q.RequestID))
		c.news.Tell(q.digest)
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
			time.Sleep(endedPause)
			if ask(ended) == endedYes {
				c.ended(id, digest, replica)
			}
		})
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
	if !c.ledger.Ended(d, replica, time.Now()) {
		return
	}
	verdict := c.ledger.Judge(d, time.Now())
	c.logger.Warn("replica ended under a young run", zap.String("requestId", requestID), zap.Stringer("digest", d),
		zap.Stringer("replica", replica), zap.Int("ends", verdict.Ends), zap.Bool("quarantined", verdict.Quarantined))
	c.news.Tell(d)
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
		conn, err := h.connect(ctx, address)
		if err == nil {
			conn.Close()
		}
		return probeOf(err)
	}
}
