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

// fixedPriority is the priority of every generation.
const fixedPriority = 1

type chatRequest struct {
	Model    string `json:"model"`
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
	MaxTokens int `json:"max_tokens"`
}

func (r *Router) serveGeneration(w http.ResponseWriter, request *http.Request) {
	var chat chatRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, request.Body, maxBody)).Decode(&chat); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	snapshot := r.Source.Current()
	profile := snapshot.Profiles[chat.Model]
	if profile == nil || len(chat.Messages) == 0 {
		http.Error(w, "no such profile, or no message", http.StatusNotFound)
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), time.Duration(profile.Deadline))
	defer cancel()
	out := &responseStream{id: fmt.Sprintf("baseline-%d", r.ids.Add(1)), w: w, control: http.NewResponseController(w)}
	open := engine.StageOpen{
		RequestID: out.id, Model: profile.Models[0].Model, Version: profile.Models[0].Version,
		Priority: fixedPriority, Prompt: strings.SplitAfter(chat.Messages[0].Content, " "), MaxTokens: chat.MaxTokens,
	}
	out.finish(r.generateWithRetry(ctx, snapshot, profile.Models[0], open, out))
}

// generateWithRetry restarts a failed generation once, unless the caller has received a
// token.
func (r *Router) generateWithRetry(ctx context.Context, snapshot *config.Snapshot, ref config.ModelRef, open engine.StageOpen, out *responseStream) error {
	var lastErr error
	for range maxAttempts {
		open.Epoch++
		lastErr = r.generate(ctx, r.pipeline(snapshot, ref), open, out)
		if lastErr == nil || out.tokens > 0 {
			return lastErr
		}
	}
	return lastErr
}

// generate makes one attempt at a generation on the targets.
func (r *Router) generate(ctx context.Context, targets []*config.Target, open engine.StageOpen, out *responseStream) error {
	if len(targets) == 0 {
		return errNoTarget
	}
	release, err := r.slots.acquire(ctx, targets)
	if err != nil {
		return err
	}
	defer release()
	for _, t := range targets {
		open.Hops = append(open.Hops, engine.Hop{Target: t.Name, Address: t.Address, Layers: t.Layers})
	}
	return newPipelineAttempt(ctx, r.Engines, open).relay(out)
}
