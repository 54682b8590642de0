package router

import (
	"testing"
	"testing/synctest"
)

// Guards against a replayed answer that looks finished though the first one ended at the limit on tokens.
func TestReplayedAnswerKeepsItsFinishReason(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		defer f.close()
		f.snapshot.Profiles["draft"].Idempotent = false
		generate := func(id string) GenerateResult {
			meta := limitMetadata("draft", id)
			meta.IdempotencyKey = "key"
			result, err := f.vms[0].Generate(t.Context(), GenerateRequest{Metadata: meta, Prompt: []string{"a "}, MaxTokens: 2}, &recordingSink{})
			if err != nil {
				t.Fatal(err)
			}
			return result
		}
		first := generate("first")
		if again := generate("again"); again.Finish != first.Finish || again.Tokens != first.Tokens || first.Finish != "length" {
			t.Errorf("first %+v, replayed %+v", first, again)
		}
	})
}
