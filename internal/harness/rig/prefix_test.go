package rig

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/harness/standin/enginesim"
)

// Several engines hold the same layers. One of them has a long prompt in its prefix
// cache and has published that. The next requests with that prompt are sent to it,
// which shortens the time to the first token. If cache events did not reach the choice
// of a plan, the requests would be spread over all engines.
func TestRequestsPreferEnginesWithTheirPromptCached(t *testing.T) {
	f, ctx := newFleet(t, 1)
	model := f.Nodes[0].Store().Current().Models["m"]
	for i := range 3 {
		_, err := f.AddEngine(ctx, enginesim.Options{
			Name: fmt.Sprintf("e%d", i), Model: model, Version: "1", Layers: config.LayerRange{From: 0, To: 8},
			Slots: 8, LayerTokensPerSecond: 8000,
		}, "dc-0", "a100")
		must(t, err)
	}
	prompt := strings.Repeat("word ", 4*engine.PrefixBlockTokens)
	draft := func() {
		answer, err := f.client(0).Generate(ctx, "draft", prompt, 3, nil)
		if err != nil || answer.Outcome != "complete" {
			t.Fatalf("%v, outcome %q: %s", err, answer.Outcome, answer.Body)
		}
	}
	draft()
	served := func() map[string]int {
		counts := map[string]int{}
		for name, e := range f.Engines {
			counts[name] = len(e.Executed())
		}
		return counts
	}
	before := served()
	prefixes := engine.PrefixHashes("m", "1", "", strings.SplitAfter(prompt, " "))
	balancer := f.Nodes[0].Router().Balancer
	for ctx.Err() == nil && len(balancer.PrefixHolders("m@1", prefixes)) == 0 {
		time.Sleep(time.Millisecond)
	}
	for range 6 {
		draft()
	}
	for name, count := range served() {
		if before[name] == 0 && count > 0 {
			t.Errorf("%s, which had nothing cached, executed %d stages", name, count)
		}
	}
}
