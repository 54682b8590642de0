package config

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"
)

// testSnapshot returns a snapshot with one valid entity of each kind.
func testSnapshot(t *testing.T) *Snapshot {
	t.Helper()
	s := NewSnapshot()
	for _, change := range []Change{
		{Kind: EntityWorkspace, Name: "crews", Value: []byte(`{}`)},
		{Kind: EntityModel, Name: "draft", Value: []byte(`{"layers":32,"versions":["v1","v2"],"adapters":["es"]}`)},
		{Kind: EntityProfile, Name: "summary", Value: []byte(validProfile)},
		{Kind: EntityTarget, Name: "gpu-1", Value: []byte(validEngine)},
	} {
		change.Version = s.Version + 1
		change, _ = Canonical(change)
		if found := Validate(change, s); len(found) > 0 {
			t.Fatal(found)
		}
		next, err := s.Apply(change)
		if err != nil {
			t.Fatal(err)
		}
		s = next
	}
	return s
}

const (
	validProfile = `{"workspace":"crews","class":"generation","urgency":"bulk","deadline":"30s","limits":{},` +
		`"models":[{"model":"draft","version":"v1","adapter":"es"}]}`
	validEngine = `{"address":"10.0.0.1:9000","dataCentre":"lima-surco","kind":"engine","model":"draft","version":"v1",` +
		`"adapters":["es"],"layers":{"from":0,"to":16},"slots":8,"links":[{"to":"lima-ate","latency":"250us"}]}`
)

func paths(found []Finding) []string {
	var all []string
	for _, finding := range found {
		all = append(all, finding.Path)
	}
	return all
}

// An operator who sends an entity with several mistakes gets a finding for each of
// them at once, with the path of its field.
func TestValidateReportsEveryFinding(t *testing.T) {
	cases := map[string]struct {
		kind  EntityKind
		name  string
		value string
		want  []string
	}{
		"unknown names": {EntityProfile, "p", `{"workspace":"x","class":"generation","urgency":"bulk","deadline":"1s",
			"limits":{},"models":[{"model":"y","version":"v1"},{"model":"draft","version":"v9","adapter":"fr"}]}`,
			[]string{"profile.p.models[0].model", "profile.p.models[1].adapter", "profile.p.models[1].version", "profile.p.workspace"}},
		"unknown fields and bad types": {EntityProfile, "p", `{"workspace":7,"Class":"call","deadline":"soon","urgency":"high",
			"limits":{"maxTokens":"many","x":1},"models":[{"modle":"draft"}],"deadline":"1s"}`,
			[]string{"profile.p.Class", "profile.p.deadline", "profile.p.deadline", "profile.p.limits.maxTokens",
				"profile.p.limits.x", "profile.p.models[0].modle", "profile.p.urgency", "profile.p.workspace"}},
		"class mismatch": {EntityProfile, "p", `{"workspace":"crews","class":"call","urgency":"bulk","deadline":"2h",
			"limits":{"maxTokens":-1},"models":[{"model":"draft","version":"v1"}],"service":"a b","path":"/x?y"}`,
			[]string{"profile.p.deadline", "profile.p.limits.maxTokens", "profile.p.models", "profile.p.path", "profile.p.service"}},
		"generation with a service": {EntityProfile, "p", `{"workspace":"crews","class":"generation","urgency":"bulk",
			"deadline":"1ms","limits":{"maxQueueWait":"2s"},"service":"s","path":"/x"}`,
			[]string{"profile.p.deadline", "profile.p.models", "profile.p.path", "profile.p.service"}},
		"queue wait beyond the deadline": {EntityProfile, "p", strings.Replace(validProfile, `"limits":{}`, `"limits":{"maxQueueWait":"31s"}`, 1),
			[]string{"profile.p.limits.maxQueueWait"}},
		"DNS name": {EntityTarget, "t", strings.Replace(validEngine, "10.0.0.1:9000", "gpu.example:9000", 1),
			[]string{"target.t.address"}},
		"port 0": {EntityTarget, "t", strings.Replace(validEngine, ":9000", ":0", 1), []string{"target.t.address"}},
		"address taken in another form": {EntityTarget, "t", strings.Replace(validEngine, "10.0.0.1:9000", "[::ffff:10.0.0.1]:9000", 1),
			[]string{"target.t.address"}},
		"engine out of range": {EntityTarget, "t", `{"address":"10.0.0.2:1","dataCentre":"","kind":"engine","model":"draft","version":"v3",
			"adapters":["fr"],"layers":{"from":30,"to":33},"slots":0,"service":"s","state":"gone",
			"links":[{"to":"t","latency":"-1s"},{"to":"","latency":"0s","bytesPerSecond":-1}]}`,
			[]string{"target.t.adapters[0]", "target.t.dataCentre", "target.t.layers", "target.t.links[0].latency", "target.t.links[0].to",
				"target.t.links[1].bytesPerSecond", "target.t.links[1].to", "target.t.service", "target.t.slots", "target.t.state", "target.t.version"}},
		"service with layers": {EntityTarget, "t", `{"address":"10.0.0.2:1","dataCentre":"d","kind":"service","model":"draft",
			"layers":{"from":0,"to":3},"slots":1}`, []string{"target.t.layers", "target.t.model", "target.t.service"}},
		"names": {EntityWorkspace, "a/b", `{"name":"c","weight":-1}`, []string{"workspace.a/b.name", "workspace.a/b.name"}},
		"workspace": {EntityWorkspace, "w", `{"weight":-1,"maxInFlight":-1,"keyDigests":["abc"]}`,
			[]string{"workspace.w.keyDigests[0]", "workspace.w.maxInFlight", "workspace.w.weight"}},
		"version in use removed": {EntityModel, "draft", `{"layers":8,"versions":["v2","v2"],"adapters":["es"]}`,
			[]string{"model.draft.versions[1]", "profile.summary.models[0].version", "target.gpu-1.layers", "target.gpu-1.version"}},
		"deleted while in use":   {EntityModel, "draft", `null`, []string{"model.draft", "model.draft"}},
		"workspace still in use": {EntityWorkspace, "crews", ``, []string{"workspace.crews"}},
		"deleted twice":          {EntityTarget, "nothing", ``, []string{"target.nothing"}},
		"unknown kind":           {"queue", "q", `{}`, []string{"queue.q"}},
		"not an object":          {EntityModel, "m", `[]`, []string{"model.m"}},
	}
	snapshot := testSnapshot(t)
	for name, c := range cases {
		found := Validate(Change{Kind: c.kind, Name: c.name, Value: json.RawMessage(c.value)}, snapshot)
		if got := paths(found); !slices.Equal(got, c.want) {
			t.Errorf("%s: findings at %v, want %v\n%v", name, got, c.want, found)
		}
	}
}

// A snapshot that was not built change by change is validated as a whole.
func TestValidateSnapshot(t *testing.T) {
	s := testSnapshot(t)
	if found := ValidateSnapshot(s); len(found) > 0 {
		t.Fatal(found)
	}
	second := *s.Targets["gpu-1"]
	second.Name, second.Slots = "gpu-2", 0
	s.Targets["gpu-2"] = &second
	s.Profiles["gone"] = nil
	delete(s.Workspaces, "crews")
	want := []string{"profile.gone", "profile.summary.workspace", "target.gpu-1.address", "target.gpu-2.address", "target.gpu-2.slots"}
	if got := paths(ValidateSnapshot(s)); !slices.Equal(got, want) {
		t.Fatalf("findings at %v, want %v", got, want)
	}
}

// Every VM applies the same bytes, whatever the form of the operator's JSON, and
// Canonical is idempotent.
func TestCanonicalIsStable(t *testing.T) {
	change := Change{Kind: EntityTarget, Name: "gpu-9", Value: json.RawMessage(strings.Replace(validEngine,
		"10.0.0.1:9000", "[::ffff:10.0.0.9]:9000", 1) + "\n")}
	first, found := Canonical(change)
	if len(found) > 0 {
		t.Fatal(found)
	}
	second, _ := Canonical(first)
	if string(first.Value) != string(second.Value) {
		t.Fatalf("%s\n%s", first.Value, second.Value)
	}
	for _, part := range []string{`"address":"10.0.0.9:9000"`, `"name":"gpu-9"`, `"state":"active"`, `"revision":0`} {
		if !strings.Contains(string(first.Value), part) {
			t.Errorf("%s is missing in %s", part, first.Value)
		}
	}
}

// FuzzCanonical checks that the strict decoder neither panics nor accepts what the
// lenient decoder, which applies the change on every VM, rejects.
func FuzzCanonical(f *testing.F) {
	f.Add("target", validEngine)
	f.Add("profile", validProfile)
	f.Add("workspace", `{"keyDigests":[null],"weight":1e3}`)
	f.Add("model", `{"layers":1,"versions":["v1"]} {}`)
	f.Fuzz(func(t *testing.T, kind, value string) {
		change, found := Canonical(Change{Version: 1, Kind: EntityKind(kind), Name: "n", Value: json.RawMessage(value)})
		if len(found) > 0 {
			return
		}
		if _, err := NewSnapshot().Apply(change); err != nil {
			t.Fatalf("%s does not apply: %v", change.Value, err)
		}
	})
}
