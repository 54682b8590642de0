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

func (d *Demo) draft(ctx context.Context) error {
	answer, err := d.client(0).Generate(ctx, "summary", "breaker report of bay 7", draftTokens, nil)
	if err != nil {
		return err
	}
	d.report("supervisor's summary", answer)
	return checkDraft(answer, draftTokens)
}

func (d *Demo) confirmation(ctx context.Context) error {
	before := d.executions()
	answer, err := d.client(1).Call(ctx, "lockout", "", []byte(`{"bay":7}`))
	if err != nil {
		return err
	}
	d.report("crew's confirmation", answer)
	if ran := d.executions() - before; answer.Outcome != "complete" || ran != 1 {
		return fmt.Errorf("outcome %q, the service ran it %d times: %s", answer.Outcome, ran, answer.Body)
	}
	return nil
}

func (d *Demo) executions() uint64 {
	var total uint64
	for _, s := range d.fleet.Services {
		total += s.ExecutedTotal()
	}
	return total
}

func (d *Demo) urgentUnderLoad(ctx context.Context) error {
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
	d.say("   all %d drafts ended whole\n", bulkDrafts)
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

func (d *Demo) stageDies(ctx context.Context) error {
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

func (d *Demo) killBusyEngine() string {
	for name, engine := range d.fleet.Engines {
		if engine.Active() > 0 {
			engine.Die()
			return name
		}
	}
	return ""
}

func (d *Demo) answerLost(ctx context.Context) error {
	before := d.executions()
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
	if ran := d.executions() - before; answer.Outcome != "unknown" || ran != 1 {
		return fmt.Errorf("outcome %q, the service ran it %d times", answer.Outcome, ran)
	}
	d.say("   it ran once, was not sent again, and the crew is told that it may have run\n")
	return nil
}

func (d *Demo) drainTarget(ctx context.Context) error {
	drained := *d.fleet.Nodes[0].Store().Current().Targets["permits-0"]
	drained.State = config.StateDraining
	started := time.Now()
	if err := d.fleet.Apply(ctx, config.EntityTarget, drained.Name, &drained); err != nil {
		return err
	}
	d.say("   in force on both routers after %s\n", time.Since(started).Round(100*time.Microsecond))
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
	d.say("   10 confirmations after it, none at the drained target\n")
	return nil
}
