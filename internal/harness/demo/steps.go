package demo

import (
	"context"
	"fmt"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/harness/callclient"
	"geraniumcroft/internal/harness/standin/enginesim"
	"geraniumcroft/internal/harness/standin/servicesim"
)

const (
	draftTokens  = 40
	bulkDrafts   = 12
	bulkTokens   = 60
	urgentProbes = 5
	killAtToken  = 10
)

// checkDraft returns an error unless the answer is complete and has all tokens in order.
func checkDraft(a callclient.Answer, tokens int) error {
	if a.Outcome != "complete" {
		return fmt.Errorf("outcome %q, %d tokens: %s", a.Outcome, len(a.Tokens), a.Body)
	}
	var want strings.Builder
	for position := range tokens {
		want.WriteString(enginesim.TokenText(position))
	}
	if a.Text() != want.String() {
		return fmt.Errorf("the answer is not the %d tokens in order: %q", tokens, a.Text())
	}
	return nil
}

// runDraft requests a generation that runs on two engines.
func (d *Demo) runDraft(ctx context.Context) error {
	answer, err := d.client(0).Generate(ctx, "summary", "breaker report of bay 7", draftTokens, nil)
	if err != nil {
		return err
	}
	d.report("supervisor's summary", answer)
	return checkDraft(answer, draftTokens)
}

// runCall makes a call that is not idempotent. The service must execute it once.
func (d *Demo) runCall(ctx context.Context) error {
	before := d.totalExecutions()
	answer, err := d.client(1).Call(ctx, "lockout", "", []byte(`{"bay":7}`))
	if err != nil {
		return err
	}
	d.report("crew's confirmation", answer)
	if ran := d.totalExecutions() - before; answer.Outcome != "complete" || ran != 1 {
		return fmt.Errorf("outcome %q, the service ran it %d times: %s", answer.Outcome, ran, answer.Body)
	}
	return nil
}

// totalExecutions returns the number of calls that the instances have executed.
func (d *Demo) totalExecutions() uint64 {
	var total uint64
	for _, s := range d.fleet.Services {
		total += s.ExecutedTotal()
	}
	return total
}

// runUrgentUnderLoad sends urgent requests while bulk drafts use all slots of the engines.
func (d *Demo) runUrgentUnderLoad(ctx context.Context) error {
	idle, err := d.client(0).Generate(ctx, "permit-check", "permit 1", 5, nil)
	if err != nil {
		return err
	}
	d.report("permit check, idle", idle)
	var bulk errgroup.Group
	for i := range bulkDrafts {
		bulk.Go(func() error {
			answer, err := d.client(i%2).Generate(ctx, "summary", fmt.Sprintf("summary %d", i), bulkTokens, nil)
			if err != nil {
				return err
			}
			return checkDraft(answer, bulkTokens)
		})
	}
	if err := d.urgentProbes(ctx); err != nil {
		return err
	}
	if err := bulk.Wait(); err != nil {
		return err
	}
	d.printf("   all %d drafts ended whole\n", bulkDrafts)
	return nil
}

func (d *Demo) urgentProbes(ctx context.Context) error {
	for i := range urgentProbes {
		answer, err := d.client(i%2).Generate(ctx, "permit-check", fmt.Sprintf("permit %d", i), 5, nil)
		if err != nil {
			return err
		}
		d.report("permit check, engines full", answer)
		if err := checkDraft(answer, 5); err != nil {
			return err
		}
		confirmed, err := d.client(i%2).Call(ctx, "lockout", "", []byte(`{"bay":8}`))
		if err != nil {
			return err
		}
		d.report("confirmation, engines full", confirmed)
		if confirmed.Outcome != "complete" {
			return fmt.Errorf("outcome %q: %s", confirmed.Outcome, confirmed.Body)
		}
	}
	return nil
}

// runStageFailure crashes an engine in the middle of a draft. The caller must receive all
// tokens in order.
func (d *Demo) runStageFailure(ctx context.Context) error {
	var killed string
	onToken := func(position int) {
		if position == killAtToken {
			killed = d.killBusyEngine()
		}
	}
	answer, err := d.client(0).Generate(ctx, "summary", "transformer inspection", draftTokens, onToken)
	if err != nil {
		return err
	}
	d.report("draft over the death of "+killed, answer)
	if killed == "" {
		return fmt.Errorf("no engine was at work at token %d", killAtToken)
	}
	if err := checkDraft(answer, draftTokens); err != nil {
		return err
	}
	return d.fleet.Engines[killed].Revive()
}

// killBusyEngine crashes an engine that has work and returns its name, or "" if none has.
func (d *Demo) killBusyEngine() string {
	for name, engine := range d.fleet.Engines {
		if engine.Active() > 0 {
			engine.Die()
			return name
		}
	}
	return ""
}

// runLostResponse makes a call that is not idempotent and loses its response. The router
// must not retry it, and must report the outcome as unknown.
func (d *Demo) runLostResponse(ctx context.Context) error {
	before := d.totalExecutions()
	for _, s := range d.fleet.Services {
		s.SetFaults(func(f *servicesim.Faults) { f.LoseResponses = 1 })
	}
	answer, err := d.client(0).Call(ctx, "lockout", "", []byte(`{"bay":9}`))
	if err != nil {
		return err
	}
	for _, s := range d.fleet.Services {
		s.SetFaults(func(f *servicesim.Faults) { f.LoseResponses = 0 })
	}
	d.report("confirmation, answer lost", answer)
	if ran := d.totalExecutions() - before; answer.Outcome != "unknown" || ran != 1 {
		return fmt.Errorf("outcome %q, the service ran it %d times", answer.Outcome, ran)
	}
	d.printf("   it ran once, was not sent again, and the crew is told that it may have run\n")
	return nil
}

// runDrain drains an instance. It must receive no calls once the change is accepted.
func (d *Demo) runDrain(ctx context.Context) error {
	drained := *d.fleet.Nodes[0].Store().Current().Targets["permits-0"]
	drained.State = config.StateDraining
	started := time.Now()
	if err := d.fleet.Apply(ctx, config.EntityTarget, drained.Name, &drained); err != nil {
		return err
	}
	d.printf("   in force on both routers after %s\n", time.Since(started).Round(100*time.Microsecond))
	before := d.fleet.Services["permits-0"].ExecutedTotal()
	for i := range 10 {
		answer, err := d.client(i%2).Call(ctx, "lockout", "", []byte(`{"bay":10}`))
		if err != nil {
			return err
		}
		if answer.Outcome != "complete" {
			return fmt.Errorf("outcome %q: %s", answer.Outcome, answer.Body)
		}
	}
	if got := d.fleet.Services["permits-0"].ExecutedTotal() - before; got != 0 {
		return fmt.Errorf("the drained target got %d calls", got)
	}
	d.printf("   10 confirmations after it, none at the drained target\n")
	return nil
}
