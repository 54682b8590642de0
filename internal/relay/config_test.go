package relay

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/outcome"
)

func TestLongestPrefixIsMatched(t *testing.T) {
	c := NewConfig(1, []*Profile{
		{Name: "all", Host: "a", Prefix: "/x/"}, {Name: "part", Host: "a", Prefix: "/x/y/"}, {Name: "other", Host: "b", Prefix: "/"},
	}, nil, nil, Limits{})
	for _, want := range []struct{ host, path, name string }{
		{"a", "/x/1", "all"}, {"a", "/x/y/1", "part"}, {"a", "/x/y", "all"}, {"b", "/x/y/1", "other"}, {"a", "/z/", ""}, {"c", "/x/", ""},
	} {
		name := ""
		if p := c.Match(want.host, want.path); p != nil {
			name = p.Name
		}
		if name != want.name {
			t.Errorf("%s%s: %q, want %q", want.host, want.path, name, want.name)
		}
	}
}

func TestBackendsAreChosenByWeight(t *testing.T) {
	p := &Profile{Backends: []Backend{{Service: "a", Weight: 90}, {Service: "none", Weight: 0}, {Service: "b", Weight: 10}}}
	counts := map[string]int{}
	for hash := range uint64(1000) {
		counts[p.service(hash)]++
	}
	if counts["a"] != 900 || counts["b"] != 100 {
		t.Errorf("%v", counts)
	}
	if (&Profile{}).service(7) != "" {
		t.Error("a profile without backends has a service")
	}
}

// Guards against a status which implies that a request did not run although it may have: callers
// send it again on 503 and 429.
func TestStatusImpliesNotRunOnlyIfTrue(t *testing.T) {
	for _, want := range []struct {
		failure *outcome.Failure
		status  int
	}{
		{outcome.Refuse(outcome.ReasonDeadline, ""), http.StatusServiceUnavailable},
		{outcome.Refuse(outcome.ReasonTargetFailed, ""), http.StatusServiceUnavailable},
		{outcome.Refuse(outcome.ReasonUnauthorized, ""), http.StatusUnauthorized},
		{outcome.Refuse(outcome.ReasonTooLarge, ""), http.StatusRequestEntityTooLarge},
		{outcome.Uncertain(outcome.ReasonTargetFailed, ""), http.StatusBadGateway},
		{outcome.Uncertain(outcome.ReasonTargetSilent, ""), http.StatusGatewayTimeout},
		{outcome.Uncertain(outcome.ReasonOverloaded, ""), http.StatusGatewayTimeout},
	} {
		if status := statusOf(want.failure); status != want.status {
			t.Errorf("%v: %d, want %d", want.failure, status, want.status)
		}
	}
}

// Faults come in bursts. A VM may spend its whole share of a window's slack in one burst, and no
// more. A VM that does not know the number of VMs gets none, and one of which an earlier process may have
// spent the share gets a part of what the shares leave, so that three starts of each VM are within the
// slack. What it has spent still counts when the number of VMs changes.
func TestRetrySlackMayComeInABurst(t *testing.T) {
	const window = 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		budgets := NewRetryBudgets(RetryBudgetSettings{Slack: 100, Window: window})
		take := func() int {
			taken := 0
			for range 100 {
				if budgets.Budget("s").Take() {
					taken++
				}
			}
			return taken
		}
		time.Sleep(window)
		if n := take(); n > 0 {
			t.Errorf("%d retries of a VM that does not know the number of VMs", n)
		}
		budgets.SetFleet(FleetCount{VMs: 4, Counted: true})
		time.Sleep(window - 1)
		budgets.SetFleet(FleetCount{VMs: 4, Counted: true})
		if n := take(); n < 1 || n > 3 {
			t.Errorf("%d retries of a VM that has just started, want 1 to 3", n)
		}
		time.Sleep(window)
		budgets.SetFleet(FleetCount{VMs: 4, Counted: true})
		time.Sleep(window)
		budgets.SetFleet(FleetCount{VMs: 4, Counted: true})
		if n := take(); n < 15 || n > 25 {
			t.Errorf("%d retries at once, the VM's share of the slack is 25 per window", n)
		}
		budgets.SetFleet(FleetCount{VMs: 3, Counted: true})
		budgets.SetFleet(FleetCount{VMs: 4, Counted: true})
		if n := take(); n != 0 {
			t.Errorf("%d more retries after the VMs were counted again", n)
		}
	})
}

func TestHopByHopHeadersAreRemoved(t *testing.T) {
	h := http.Header{"Connection": {"close, X-Mine"}, "X-Mine": {"1"}, "Keep-Alive": {"5"}, "X-Other": {"2"}}
	if out := withoutHopHeaders(h); len(out) != 1 || out.Get("X-Other") != "2" {
		t.Errorf("%v", out)
	}
}
