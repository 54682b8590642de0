package relay

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/singleflight"

	"geraniumcroft/internal/stall"
)

const (
	// stageAnswer is how long a stage may take to accept a connection, which takes some 2 ms.
	stageAnswer = 40 * time.Millisecond
	// secondDial is when a stage that has not answered is asked on a second connection: the first
	// one's packets may be lost.
	secondDial = 15 * time.Millisecond
	// dialLate is by how much a wait may be longer than asked for before this VM is taken for the
	// one that was held up.
	dialLate = 20 * time.Millisecond
	// takenFresh is how long the answer of a stage that accepts connections holds, and goneFresh
	// that of one that does not.
	takenFresh = 200 * time.Millisecond
	goneFresh  = time.Second
)

// stageProber asks stages whether they accept connections, once for all streams of this VM that
// want to know.
type stageProber struct {
	connect func(ctx context.Context, address string) error
	budget  *stall.QuestionBudget
	flights singleflight.Group

	mu   sync.Mutex // guards the field below
	kept map[string]keptAnswer
}

type keptAnswer struct {
	answer stall.Answer
	until  time.Time
}

func newStageProber(connect func(ctx context.Context, address string) error) *stageProber {
	return &stageProber{connect: connect, budget: stall.NewQuestionBudget(), kept: map[string]keptAnswer{}}
}

// ask asks all stages at once.
func (p *stageProber) ask(stages []stall.Stage) []stall.Asked {
	asked := make([]stall.Asked, len(stages))
	var all sync.WaitGroup
	for i, stage := range stages {
		asked[i].Stage = stage
		if answer, ok := p.recent(stage.Address); ok {
			asked[i].Answer = answer
			continue
		}
		all.Go(func() { asked[i].Answer = p.question(stage.Address) })
	}
	all.Wait()
	return asked
}

// question asks one stage, together with others that ask it now.
func (p *stageProber) question(address string) stall.Answer {
	answer, _, _ := p.flights.Do(address, func() (any, error) {
		if answer, ok := p.recent(address); ok {
			return answer, nil
		}
		if !p.budget.Take() {
			return stall.AnswerUnknown, nil
		}
		answer := p.dial(address)
		p.keep(address, answer)
		return answer, nil
	})
	return answer.(stall.Answer)
}

// dial asks on one connection, and on a second one if the first brings nothing.
func (p *stageProber) dial(address string) stall.Answer {
	ctx, cancel := context.WithTimeout(context.Background(), stageAnswer)
	defer cancel()
	started := time.Now()
	results := make(chan error, 2)
	try := func() { results <- p.connect(ctx, address) }
	go try()
	second := time.AfterFunc(secondDial, try)
	defer second.Stop()
	select {
	case err := <-results:
		return answerOf(err)
	case <-ctx.Done():
	}
	if time.Since(started) > stageAnswer+dialLate {
		return stall.AnswerUnknown
	}
	return stall.AnswerSilent
}

// answerOf reads the error of a connection. A reset comes from a listener that is there.
func answerOf(err error) stall.Answer {
	var timeout net.Error
	switch {
	case err == nil, errors.Is(err, syscall.ECONNRESET):
		return stall.AnswerTaken
	case errors.Is(err, syscall.ECONNREFUSED):
		return stall.AnswerRefused
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return stall.AnswerSilent
	}
	return stall.AnswerUnknown
}

func (p *stageProber) recent(address string) (stall.Answer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept, ok := p.kept[address]
	return kept.answer, ok && time.Now().Before(kept.until)
}

// keep remembers an answer, and drops those that are of no use any more.
func (p *stageProber) keep(address string, answer stall.Answer) {
	fresh := goneFresh
	switch answer {
	case stall.AnswerUnknown:
		return
	case stall.AnswerTaken:
		fresh = takenFresh
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for other, kept := range p.kept {
		if !now.Before(kept.until) {
			delete(p.kept, other)
		}
	}
	p.kept[address] = keptAnswer{answer: answer, until: now.Add(fresh)}
}
