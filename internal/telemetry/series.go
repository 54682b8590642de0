package telemetry

import (
	"github.com/uber-go/tally/v4"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/outcome"
)

// requestCounter returns a function that creates the counter of a requestKey.
func requestCounter(scope tally.Scope) func(requestKey) tally.Counter {
	return func(key requestKey) tally.Counter {
		return scope.Tagged(map[string]string{
			"outcome": key.outcome.String(),
			"reason":  string(key.reason),
			"urgency": key.urgency.String(),
		}).Counter("requests_total")
	}
}

// workspaceCounters returns a function that creates the counters of a workspace.
func workspaceCounters(scope tally.Scope) func(string) *byOutcome {
	return func(workspace string) *byOutcome {
		counters := &byOutcome{}
		for o := range counters {
			counters[o] = scope.Tagged(map[string]string{
				"workspace": workspace,
				"outcome":   outcome.Outcome(o).String(),
			}).Counter("workspace_requests_total")
		}
		return counters
	}
}

// targetCounters returns a function that creates the counters of a target.
func targetCounters(scope tally.Scope) func(string) *byResult {
	return func(target string) *byResult {
		counter := func(result string) tally.Counter {
			return scope.Tagged(map[string]string{"target": target, "result": result}).Counter("target_attempts_total")
		}
		return &byResult{ok: counter("ok"), failed: counter("failed")}
	}
}

// taggedCounter returns a function that creates the counter with a value of the tag.
func taggedCounter[K ~string](scope tally.Scope, name, tag string) func(K) tally.Counter {
	return func(value K) tally.Counter {
		return scope.Tagged(map[string]string{tag: string(value)}).Counter(name)
	}
}

// histograms creates the histograms of one metric, tagged by urgency.
func histograms(scope tally.Scope, name string, buckets tally.Buckets) byUrgency {
	var all byUrgency
	for u := range all {
		all[u] = scope.Tagged(map[string]string{"urgency": config.Urgency(u).String()}).Histogram(name, buckets)
	}
	return all
}
