package relay

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/stall"
)

const (
	// probeTimeout is how long a stage may take to accept a connection. About 2 ms is usual.
	probeTimeout = 60 * time.Millisecond
	// dialInterval is the time after which a stage that has not responded is dialled again, up to
	// maxDials times: packets may be lost, or its accept queue may be full for a moment.
	dialInterval = 15 * time.Millisecond
	maxDials     = 3
	// maxDialDelay is how much longer than probeTimeout a probe may take. If it takes longer, this
	// VM is assumed to have been delayed, not the stage.
	maxDialDelay = 10 * time.Millisecond
	// acceptedTTL is how long the result of a stage that accepts connections is valid, failedTTL
	// that of a stage that does not.
	acceptedTTL = time.Second
	failedTTL   = time.Second
)

// stageProber probes whether stages accept connections, once for all streams of this VM that need
// the result.
type stageProber struct {
	connect func(ctx context.Context, address string) error
	budget  *stall.ProbeBudget
	results *ttlCache[stall.ProbeResult]
}

func newStageProber(connect func(ctx context.Context, address string) error) *stageProber {
	return &stageProber{connect: connect, budget: stall.NewProbeBudget(), results: newTTLCache[stall.ProbeResult]()}
}

// probeAll probes all stages whose result is not cached, concurrently and as far as the budget
// allows. It returns the results and how many probes it made.
func (p *stageProber) probeAll(stages []stall.Stage) (probed []stall.ProbedStage, dialled int) {
	probed = make([]stall.ProbedStage, len(stages))
	var all sync.WaitGroup
	for i, stage := range stages {
		result, known := p.results.get(stage.Address)
		probed[i] = stall.ProbedStage{Stage: stage, ProbeResult: result}
		if known || !p.budget.Left() {
			continue
		}
		dialled++
		all.Go(func() { probed[i].ProbeResult = p.probe(stage.Address) })
	}
	all.Wait()
	return probed, dialled
}

// probe probes one stage, merged with concurrent probes of it.
func (p *stageProber) probe(address string) stall.ProbeResult {
	result, _ := p.results.do(address, func() (stall.ProbeResult, error) {
		if result, ok := p.results.get(address); ok {
			return result, nil
		}
		if !p.budget.Take() {
			return stall.ProbeUnknown, nil
		}
		result := p.dial(address)
		p.put(address, result)
		return result, nil
	})
	return result
}

// dial connects to a stage, and again while there is no response.
func (p *stageProber) dial(address string) stall.ProbeResult {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	started := time.Now()
	results := make(chan error, maxDials)
	next := time.NewTicker(dialInterval)
	defer next.Stop()
	for dials := 0; ctx.Err() == nil; {
		if dials < maxDials {
			dials++
			go func() { results <- p.connect(ctx, address) }()
		}
		select {
		case err := <-results:
			return probeResultOf(err)
		case <-next.C:
		case <-ctx.Done():
		}
	}
	if time.Since(started) > probeTimeout+maxDialDelay {
		return stall.ProbeUnknown
	}
	return stall.ProbeTimedOut
}

// probeResultOf interprets the error of a connection attempt. A reset shows that there is a
// listener.
func probeResultOf(err error) stall.ProbeResult {
	var timeout net.Error
	switch {
	case err == nil, errors.Is(err, syscall.ECONNRESET):
		return stall.ProbeAccepted
	case errors.Is(err, syscall.ECONNREFUSED):
		return stall.ProbeRefused
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return stall.ProbeTimedOut
	}
	return stall.ProbeUnknown
}

// put caches a result for as long as it is valid. An unknown result is not cached.
func (p *stageProber) put(address string, result stall.ProbeResult) {
	switch result {
	case stall.ProbeAccepted:
		p.results.put(address, result, acceptedTTL)
	case stall.ProbeRefused, stall.ProbeTimedOut:
		p.results.put(address, result, failedTTL)
	}
}
