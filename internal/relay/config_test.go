package relay

import (
	"net/http"
	"testing"
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

// Only a request that did not run may be told so: callers send it again on 503 and 429.
func TestStatusPromisesOnlyWhatIsTrue(t *testing.T) {
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

// A burst of faults comes at once. The VM's whole part of a window's slack may be spent in
// the burst, and no more than it. A VM that does not know yet how many share the slack
// takes a small part, and what was spent still counts once it knows.
func TestRetrySlackMayComeInABurst(t *testing.T) {
	budgets := NewRetryBudgets(RetryBudgetSettings{Slack: 100, Window: 10 * time.Second})
	take := func() int {
		taken := 0
		for range 100 {
			if budgets.of("s").Take() {
				taken++
			}
		}
		return taken
	}
	if n := take(); n > 1 {
		t.Errorf("%d retries of a VM that knows no others", n)
	}
	budgets.SetVMs(4)
	if n := take(); n < 15 || n > 25 {
		t.Errorf("%d retries at once, the VM's part of the slack is 25 a window", n)
	}
	budgets.SetVMs(3)
	budgets.SetVMs(4)
	if n := take(); n != 0 {
		t.Errorf("%d retries more after the VMs were counted anew", n)
	}
}

func TestHeadersOfOneConnectionStayBehind(t *testing.T) {
	h := http.Header{"Connection": {"close, X-Mine"}, "X-Mine": {"1"}, "Keep-Alive": {"5"}, "X-Other": {"2"}}
	if out := withoutHops(h); len(out) != 1 || out.Get("X-Other") != "2" {
		t.Errorf("%v", out)
	}
}
