package router

import (
	"strings"
	"testing"
	"testing/synctest"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/outcome"
)

// Guards against "not run" for a key whose earlier request has run: the repetition is refused before its
// claim is read.
func TestRefusedRepetitionIsNotToldThatItDidNotRun(t *testing.T) {
	for name, refuse := range map[string]func(f *fleet, meta *Metadata){
		"the profile was deleted":       func(f *fleet, _ *Metadata) { delete(f.snapshot.Profiles, "hold") },
		"the profile has another class": func(f *fleet, _ *Metadata) { f.snapshot.Profiles["hold"].Class = config.ClassGeneration },
		"the key was revoked":           func(f *fleet, _ *Metadata) { f.snapshot.Workspaces["w"].KeyDigests = []string{"another"} },
		"the limit was lowered":         func(f *fleet, meta *Metadata) { meta.BodyBytes = 1 << 40 },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(1)
				defer f.close()
				f.vms[0].Authorize = func(string, []string) bool { return false }
				meta := limitMetadata("hold", "a")
				meta.IdempotencyKey = "key"
				if _, err := f.vms[0].Call(t.Context(), CallRequest{Metadata: meta, Body: []byte("a")}); err != nil {
					t.Fatal(err)
				}
				refuse(f, &meta)
				meta.RequestID += " again"
				_, err := f.vms[0].Call(t.Context(), CallRequest{Metadata: meta, Body: []byte("a")})
				if failure := asFailure(err); failure == nil || failure.Outcome != outcome.Unknown {
					t.Errorf("got %v, want a request that may have run", err)
				}
				meta.IdempotencyKey = ""
				_, err = f.vms[0].Call(t.Context(), CallRequest{Metadata: meta, Body: []byte("a")})
				if failure := asFailure(err); failure == nil || failure.Outcome != outcome.NotRun {
					t.Errorf("without a key: got %v, want one that did not run", err)
				}
			})
		})
	}
}

// Guards against the same for a generation that asks for more than its profile allows now.
func TestRefusedGenerationIsNotToldThatItDidNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		defer f.close()
		f.snapshot.Profiles["draft"].Idempotent = false
		meta := limitMetadata("draft", "a")
		meta.IdempotencyKey = "key"
		prompt := strings.SplitAfter(strings.Repeat("a ", 1+DefaultLimits().MaxPromptTokens), " ")
		_, err := f.vms[0].Generate(t.Context(), GenerateRequest{Metadata: meta, Prompt: prompt, MaxTokens: 2}, &recordingSink{})
		if failure := asFailure(err); failure == nil || failure.Outcome != outcome.Unknown {
			t.Errorf("got %v, want a request that may have run", err)
		}
	})
}
