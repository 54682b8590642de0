package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"geraniumcroft/internal/harness/standin/platformsim"
	"geraniumcroft/internal/harness/testseed"
	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/outcome"
	"geraniumcroft/internal/platform/resilient"
)

const (
	historyVMs      = 3
	historyClients  = 6
	historyAttempts = 12
	historyKeys     = 4
	historySeeds    = 40
)

// attemptInput is one arrival of a keyed request on a VM.
type attemptInput struct {
	key int
}

// attemptOutput is the result of an attempt.
type attemptOutput struct {
	// executed is true if the target ran the request.
	executed bool
	// reported is the outcome that the caller received.
	reported outcome.Outcome
}

// keyState is the specification's state of one key.
type keyState struct {
	executed bool
	notRun   bool
}

// claimModel specifies what callers may observe: a key is executed at most once,
// complete is reported only for a key that was executed, and not-run is final.
var claimModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make([][]porcupine.Operation, historyKeys)
		for _, op := range history {
			key := op.Input.(attemptInput).key
			parts[key] = append(parts[key], op)
		}
		return parts
	},
	Init: func() any { return keyState{} },
	Step: func(state, _, output any) (bool, any) { return stepClaim(state.(keyState), output.(attemptOutput)) },
}

// stepClaim applies one attempt to the state of its key. It returns false if the
// specification does not permit the output.
func stepClaim(state keyState, output attemptOutput) (bool, any) {
	if output.executed {
		if state.executed || state.notRun {
			return false, state
		}
		state.executed = true
	}
	switch output.reported {
	case outcome.Complete:
		return state.executed, state
	case outcome.NotRun:
		state.notRun = true
		return !state.executed, state
	default:
		return true, state
	}
}

// history collects the attempts of concurrent callers and their results.
type history struct {
	mu  sync.Mutex // guards ops
	ops []porcupine.Operation
}

// add records an attempt that returns now.
func (h *history) add(client int, key int, call time.Time, output attemptOutput) {
	op := porcupine.Operation{
		ClientId: client,
		Input:    attemptInput{key: key},
		Call:     call.UnixNano(),
		Output:   output,
		Return:   time.Now().UnixNano(),
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, op)
}

// runHistory simulates clients that send keyed requests to random VMs while the table
// has random faults, in virtual time. It returns the history of their attempts. plant,
// unless nil, modifies the claims of each VM before the run.
func runHistory(t *testing.T, seed uint64, settings Settings, plant func(*Claims)) []porcupine.Operation {
	t.Helper()
	var collected history
	synctest.Test(t, func(t *testing.T) {
		store := platformsim.NewStore()
		store.Faults.Choose(randomFaults(seed))
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		var vms []*Claims
		for n := range historyVMs {
			limits := resilient.Settings{VMs: 1, WritesPerSecond: 1e4, ReadsPerSecond: 1e4, FailuresToOpen: 5}
			client := resilient.New(store, store, store, limits)
			defer client.Close()
			v := New(client, fmt.Sprint("vm-", n), settings, invariant.Strict())
			if plant != nil {
				plant(v)
			}
			go v.Run(ctx)
			vms = append(vms, v)
		}
		var clients sync.WaitGroup
		for client := range historyClients {
			clients.Go(func() { runClient(t, seed, client, vms, &collected) })
		}
		clients.Wait()
		stop()
		time.Sleep(time.Hour) // delayed writes are applied before the synctest bubble ends
	})
	return collected.ops
}

// randomFaults affects about a third of the operations: it loses the response, delays
// the write, makes the table unavailable, or slows the operation.
func randomFaults(seed uint64) platformsim.Chooser {
	random := rand.New(rand.NewPCG(seed, 0))
	return func(platformsim.Operation) platformsim.Action {
		wait := time.Duration(random.IntN(8000)) * time.Millisecond
		switch random.IntN(16) {
		case 0, 1:
			return platformsim.Action{Kind: platformsim.ActLoseAnswer}
		case 2:
			return platformsim.Action{Kind: platformsim.ActDelay, Wait: wait}
		case 3:
			return platformsim.Action{Kind: platformsim.ActUnavailable}
		case 4:
			return platformsim.Action{Kind: platformsim.ActSlow, Wait: wait / 4}
		default:
			return platformsim.Action{Wait: time.Millisecond}
		}
	}
}

// runClient makes the attempts of one client.
func runClient(t *testing.T, seed uint64, client int, vms []*Claims, into *history) {
	random := rand.New(rand.NewPCG(seed, uint64(client+1)))
	for attempt := range historyAttempts {
		time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
		key := random.IntN(historyKeys)
		id := fmt.Sprintf("c%d-%d", client, attempt)
		call := time.Now()
		output := runAttempt(t, random, vms[random.IntN(len(vms))], key, id)
		into.add(client, key, call, output)
	}
}

// runAttempt handles a keyed request as the router does. Of the requests that it may
// run it refuses some as not-run, and for some it simulates a crash of the VM before
// the end is recorded.
func runAttempt(t *testing.T, random *rand.Rand, v *Claims, key int, id string) attemptOutput {
	k := Key{Workspace: "w", Profile: "p", Key: fmt.Sprint(key)}
	decision := v.Claim(t.Context(), k, id, testDigest, time.Now().Add(testDeadline))
	switch {
	case decision.Replay != nil:
		return attemptOutput{reported: outcome.Complete}
	case decision.Failure != nil:
		return attemptOutput{reported: decision.Failure.Outcome}
	}
	switch random.IntN(4) {
	case 0:
		if v.Finish(t.Context(), k, id, outcome.NotRun, nil) != nil {
			return attemptOutput{reported: outcome.Unknown}
		}
		return attemptOutput{reported: outcome.NotRun}
	case 1:
		return attemptOutput{executed: true, reported: outcome.Unknown} // the VM crashes
	default:
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		// The caller has received its answer even if the end row can't be written.
		_ = v.Finish(t.Context(), k, id, outcome.Complete, &Answer{Status: 200})
		return attemptOutput{executed: true, reported: outcome.Complete}
	}
}

// Callers send copies of keyed requests to several VMs while the table loses responses,
// applies writes late, is unavailable, or is slow. The history must have an order of
// events in which each key is executed at most once and not-run is final.
func TestHistoryOfConcurrentClaims(t *testing.T) {
	for _, ungrouped := range []bool{false, true} {
		executions, refusals := 0, 0
		for seed := range testseed.Series(historySeeds) {
			ops := runHistory(t, seed, Settings{Ungrouped: ungrouped}, nil)
			if !porcupine.CheckOperations(claimModel, ops) {
				t.Fatalf("ungrouped=%t seed %d: the history violates the specification", ungrouped, seed)
			}
			for _, op := range ops {
				output := op.Output.(attemptOutput)
				executions += toInt(output.executed)
				refusals += toInt(output.reported == outcome.NotRun)
			}
		}
		t.Logf("ungrouped=%t: %d executions, %d not-run in %d histories", ungrouped, executions, refusals, historySeeds)
		if executions < historySeeds || refusals < historySeeds {
			t.Fatal("too few executions or refusals to check anything")
		}
	}
}

// toInt returns 1 for true and 0 for false.
func toInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// The history check must fail when one of the safeguards is removed: the condition on
// the rows, or the rule that an ambiguous write of a claim or a tombstone does not count
// as written.
func TestHistoryCheckerCatchesPlantedFaults(t *testing.T) {
	plants := map[string]func(*Claims){
		"unconditional claims":               func(c *Claims) { c.writer = &unconditionalWriter{table: c.table} },
		"ambiguous write counted as written": func(c *Claims) { c.writer = &optimisticWriter{inner: c.writer} },
	}
	for name, plant := range plants {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(historySeeds) {
				if !porcupine.CheckOperations(claimModel, runHistory(t, seed, Settings{}, plant)) {
					return
				}
			}
			t.Fatal("no history violates the specification despite the planted fault")
		})
	}
}
