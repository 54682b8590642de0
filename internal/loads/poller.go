package loads

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"

	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/layers"
	"geraniumcroft/internal/sleep"
)

const (
	// pollTimeout bounds one poll of a replica, which answers within about 2 ms.
	pollTimeout = 250 * time.Millisecond
	// pollRetryDelay is the pause before a replica that did not answer is polled once more.
	// A dead replica is then known after two polls, and a single lost answer does no harm.
	pollRetryDelay = 100 * time.Millisecond
	// maxPromptPolls limits the polls that are expected to be answered at once.
	maxPromptPolls = 64
	// promptAnswer is the time after which a poll no longer counts as one of these, so that
	// replicas which do not answer leave the polls of the others in time.
	promptAnswer = 25 * time.Millisecond
	// maxPendingPolls limits all polls, and with them the connections of a round.
	maxPendingPolls = 1024
	// maxRoundTime is the time after which a round has ended, whoever has not answered. It
	// includes both polls of a replica that is silent for the first time.
	maxRoundTime = 700 * time.Millisecond
)

// poller polls replicas for their load, round by round. A replica that does not answer delays
// neither the polls of the others nor the end of the round. One round runs at a time.
type poller struct {
	client Client
	logger *zap.Logger
	// prompt counts the polls that still hold one of maxPromptPolls places, pending all polls.
	prompt, pending *semaphore.Weighted
	// work counts the polls that have not ended.
	work sync.WaitGroup
	// next is the index of the replica at which the next round begins.
	next int

	mu sync.Mutex // guards the fields below
	// polled are the replicas with a poll that has not ended.
	polled map[incarnation.Key]bool
	// results are the outcomes since the last snapshot, by the incarnation that reported.
	results map[incarnation.Key]layers.Load
	// silent are the replicas that did not answer their last poll.
	silent map[incarnation.Key]bool
}

func newPoller(client Client, logger *zap.Logger) *poller {
	return &poller{
		client: client, logger: logger, prompt: semaphore.NewWeighted(maxPromptPolls), pending: semaphore.NewWeighted(maxPendingPolls),
		polled: map[incarnation.Key]bool{}, results: map[incarnation.Key]layers.Load{}, silent: map[incarnation.Key]bool{},
	}
}

// round polls the replicas and returns the loads that have come since the last round. Replicas
// that did not answer their last poll are down. A replica whose poll has not ended is missing. The
// polls themselves run until ctx ends.
func (p *poller) round(ctx context.Context, replicas []layers.Replica) map[incarnation.Key]layers.Load {
	roundCtx, cancel := context.WithTimeout(ctx, maxRoundTime)
	defer cancel()
	var fresh sync.WaitGroup // the polls of replicas that are not known to be silent
	started := 0
	for i := range replicas {
		r := replicas[(p.next+i)%len(replicas)]
		if p.isPolled(r.Key()) {
			started++
			continue
		}
		if !p.start(ctx, roundCtx, r, &fresh) {
			p.logger.Warn("not all replicas polled in time", zap.Int("polled", started), zap.Int("replicas", len(replicas)))
			break
		}
		started++
	}
	if len(replicas) > 0 {
		p.next = (p.next + started) % len(replicas)
	}
	done := make(chan struct{})
	go func() { fresh.Wait(); close(done) }()
	select {
	case <-done:
	case <-roundCtx.Done():
	}
	return p.takeResults(replicas)
}

// start begins the poll of a replica. It returns false if there is no place before the round ends.
func (p *poller) start(ctx, roundCtx context.Context, r layers.Replica, fresh *sync.WaitGroup) bool {
	if p.pending.Acquire(roundCtx, 1) != nil {
		return false
	}
	known := p.isSilent(r.Key())
	if !known && p.prompt.Acquire(roundCtx, 1) != nil {
		p.pending.Release(1)
		return false
	}
	leavePrompt := sync.OnceFunc(func() {
		if !known {
			p.prompt.Release(1)
		}
	})
	if !known {
		fresh.Add(1)
	}
	p.setPolled(r.Key())
	p.work.Go(func() {
		timer := time.AfterFunc(promptAnswer, leavePrompt)
		load, err := p.load(ctx, r.Address)
		timer.Stop()
		leavePrompt()
		p.record(r, load, err)
		p.pending.Release(1)
		if !known {
			fresh.Done()
		}
	})
	return true
}

// record keeps the outcome of a poll for the next snapshot.
func (p *poller) record(r layers.Replica, load layers.Load, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.polled, r.Key())
	if err != nil {
		if !p.silent[r.Key()] {
			p.logger.Warn("replica does not answer", zap.Stringer("replica", r.Key()), zap.String("address", r.Address), zap.Error(err))
		}
		p.silent[r.Key()] = true
		return
	}
	delete(p.silent, r.Key())
	p.results[reportingKey(r, load)] = load
}

// takeResults returns the results since the last call, with the silent ones of the replicas as
// down.
func (p *poller) takeResults(replicas []layers.Replica) map[incarnation.Key]layers.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	loads, silent := p.results, make(map[incarnation.Key]bool, len(p.silent))
	for _, r := range replicas {
		if k := r.Key(); p.silent[k] {
			loads[k], silent[k] = layers.Load{Down: true}, true
		}
	}
	p.results, p.silent = make(map[incarnation.Key]layers.Load, len(replicas)), silent
	return loads
}

func (p *poller) isPolled(k incarnation.Key) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.polled[k]
}

func (p *poller) setPolled(k incarnation.Key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.polled[k] = true
}

func (p *poller) isSilent(k incarnation.Key) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent[k]
}

// load polls a replica for its load, and once more if it does not answer.
func (p *poller) load(ctx context.Context, address string) (layers.Load, error) {
	load, err := p.pollOnce(ctx, address)
	if err != nil && sleep.For(ctx, pollRetryDelay) {
		load, err = p.pollOnce(ctx, address)
	}
	return load, err
}

// pollOnce polls a replica once.
func (p *poller) pollOnce(ctx context.Context, address string) (layers.Load, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	return p.client.Load(ctx, address)
}

// reportingKey returns the incarnation that reported. A replica that has restarted reports
// its new start seconds before discovery shows it. A replica that reports no start is taken
// for the listed incarnation.
func reportingKey(r layers.Replica, load layers.Load) incarnation.Key {
	key := r.Key()
	if load.Born > 0 {
		key.Born = load.Born
	}
	return key
}
