package baseline

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/engine"
)

// everyPriority is what engines are told of each generation.
const everyPriority = 1

type draftRequest struct {
	Model    string `json:"model"`
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
	MaxTokens int `json:"max_tokens"`
}

func (r *Router) serveDraft(w http.ResponseWriter, request *http.Request) {
	var asked draftRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, request.Body, maxBody)).Decode(&asked); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	snapshot := r.Source.Current()
	profile := snapshot.Profiles[asked.Model]
	if profile == nil || len(asked.Messages) == 0 {
		http.Error(w, "no such profile, or no message", http.StatusNotFound)
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), time.Duration(profile.Deadline))
	defer cancel()
	out := &answer{id: fmt.Sprintf("baseline-%d", r.ids.Add(1)), w: w, control: http.NewResponseController(w)}
	open := engine.StageOpen{
		RequestID: out.id, Model: profile.Models[0].Model, Version: profile.Models[0].Version,
		Priority: everyPriority, Prompt: strings.SplitAfter(asked.Messages[0].Content, " "), MaxTokens: asked.MaxTokens,
	}
	out.end(r.draftTwice(ctx, snapshot, profile.Models[0], open, out))
}

// draftTwice restarts a failed draft once, as long as the caller has nothing of it.
func (r *Router) draftTwice(ctx context.Context, snapshot *config.Snapshot, ref config.ModelRef, open engine.StageOpen, out *answer) error {
	var failed error
	for range attempts {
		open.Epoch++
		failed = r.draftOnce(ctx, r.pipeline(snapshot, ref), open, out)
		if failed == nil || out.tokens > 0 {
			return failed
		}
	}
	return failed
}

func (r *Router) draftOnce(ctx context.Context, targets []*config.Target, open engine.StageOpen, out *answer) error {
	if len(targets) == 0 {
		return errNoTarget
	}
	release, err := r.slots.take(ctx, targets)
	if err != nil {
		return err
	}
	defer release()
	for _, t := range targets {
		open.Hops = append(open.Hops, engine.Hop{Target: t.Name, Address: t.Address, Layers: t.Layers})
	}
	return newPipelineRun(ctx, r.Engines, open).relay(out)
}
