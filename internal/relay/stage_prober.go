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
	// stageAnswer is how long a stage may take to accept a connection, which takes some 2 ms.
	stageAnswer = 60 * time.Millisecond
	// nextDial is after how long a stage that has not answered is asked on one more connection, of
	// maxDials: packets may be lost, or its listener full for a moment.
	nextDial = 15 * time.Millisecond
	maxDials = 3
	// dialLate is by how much a wait may be longer than asked for before this VM is taken for the
	// one that was held up.
	dialLate = 10 * time.Millisecond
	// takenFresh is how long the answer of a stage that accepts connections holds, and goneFresh
	// that of one that does not.
	takenFresh = time.Second
	goneFresh  = time.Second
)

// stageProber asks stages whether they accept connections, once for all streams of this VM that
// want to know.
type stageProber struct {
	connect func(ctx context.Context, address string) error
	budget  *stall.ProbeBudget
	answers *keptAnswers[stall.ProbeResult]
}

func newStageProber(connect func(ctx context.Context, address string) error) *stageProber {
	return &stageProber{connect: connect, budget: stall.NewProbeBudget(), answers: newKeptAnswers[stall.ProbeResult]()}
}

// ask asks all stages at once, and returns how many of the answers were not known before.
func (p *stageProber) ask(stages []stall.Stage) (asked []stall.ProbedStage, dialled int) {
	asked = make([]stall.ProbedStage, len(stages))
	var all sync.WaitGroup
	for i, stage := range stages {
		answer, known := p.answers.recent(stage.Address)
		asked[i] = stall.ProbedStage{Stage: stage, ProbeResult: answer}
		if known || !p.budget.Left() {
			continue
		}
		dialled++
		all.Go(func() { asked[i].ProbeResult = p.question(stage.Address) })
	}
	all.Wait()
	return asked, dialled
}

// question asks one stage, together with others that ask it now.
func (p *stageProber) question(address string) stall.ProbeResult {
	answer, _ := p.answers.once(address, func() (stall.ProbeResult, error) {
		if answer, ok := p.answers.recent(address); ok {
			return answer, nil
		}
		if !p.budget.Take() {
			return stall.ProbeUnknown, nil
		}
		answer := p.dial(address)
		p.keep(address, answer)
		return answer, nil
	})
	return answer
}

// dial asks on one connection, and on others as long as nothing comes back.
func (p *stageProber) dial(address string) stall.ProbeResult {
	ctx, cancel := context.WithTimeout(context.Background(), stageAnswer)
	defer cancel()
	started := time.Now()
	results := make(chan error, maxDials)
	next := time.NewTicker(nextDial)
	defer next.Stop()
	for dials := 0; ctx.Err() == nil; {
		if dials < maxDials {
			dials++
			go func() { results <- p.connect(ctx, address) }()
		}
		select {
		case err := <-results:
			return answerOf(err)
		case <-next.C:
		case <-ctx.Done():
		}
	}
	if time.Since(started) > stageAnswer+dialLate {
		return stall.ProbeUnknown
	}
	return stall.ProbeTimedOut
}

// answerOf reads the error of a connection. A reset comes from a listener that is there.
func answerOf(err error) stall.ProbeResult {
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

// keep remembers an answer for as long as it holds.
func (p *stageProber) keep(address string, answer stall.ProbeResult) {
	switch answer {
	case stall.ProbeAccepted:
		p.answers.keep(address, answer, takenFresh)
	case stall.ProbeRefused, stall.ProbeTimedOut:
		p.answers.keep(address, answer, goneFresh)
	}
}
