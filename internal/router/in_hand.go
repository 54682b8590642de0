package router

import (
	"maps"
	"slices"
	"sort"
	"sync"
	"time"

	"geraniumcroft/internal/config"
)

const keptRecords = 128

// inHand is the registry of requests that have arrived and not ended.
type inHand struct {
	mu          sync.Mutex // guards the fields below
	entries     map[string]*entry
	byWorkspace map[string]int
	byProfile   map[string]int
	failures    []Record
}

func newInHand() *inHand {
	return &inHand{entries: map[string]*entry{}, byWorkspace: map[string]int{}, byProfile: map[string]int{}}
}

// add takes the entry in unless a limit on requests in hand is reached; it
// names the limit that is.
func (h *inHand) add(e *entry, workspaceMax int) (limit string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if workspaceMax > 0 && h.byWorkspace[e.profile.Workspace] >= workspaceMax {
		return "workspace"
	}
	profileMax := e.profile.Limits.MaxInFlight
	if profileMax > 0 && h.byProfile[e.profile.Name] >= profileMax {
		return "profile"
	}
	h.entries[e.id.RequestID] = e
	h.byWorkspace[e.profile.Workspace]++
	h.byProfile[e.profile.Name]++
	return ""
}

func (h *inHand) remove(e *entry) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.entries, e.id.RequestID)
	decrement(h.byWorkspace, e.profile.Workspace)
	decrement(h.byProfile, e.profile.Name)
}

func decrement(counts map[string]int, name string) {
	counts[name]--
	if counts[name] == 0 {
		delete(counts, name)
	}
}

func (h *inHand) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.entries)
}

// pools returns the pools of all requests in hand.
func (h *inHand) pools() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	seen := map[string]bool{}
	for _, e := range h.entries {
		seen[e.pool] = true
	}
	return slices.Collect(maps.Keys(seen))
}

func (h *inHand) keepFailure(r Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.failures) == keptRecords {
		h.failures = h.failures[1:]
	}
	h.failures = append(h.failures, r)
}

// preemptible returns the running bulk generation of the pool that has the
// fewest tokens, as it loses the least by waiting.
func (h *inHand) preemptible(pool string) *entry {
	h.mu.Lock()
	defer h.mu.Unlock()
	var best *entry
	for _, e := range h.entries {
		if e.pool != pool || e.preempt == nil || e.profile.Urgency != config.Bulk {
			continue
		}
		if stage, _ := e.at(); stage != PhaseRunning || len(e.preempt) > 0 {
			continue
		}
		if best == nil || e.tokens.Load() < best.tokens.Load() {
			best = e
		}
	}
	return best
}

// InHandEntry is one request in hand, for the dump.
type InHandEntry struct {
	RequestID string         `json:"requestId"`
	Profile   string         `json:"profile"`
	Workspace string         `json:"workspace"`
	Urgency   config.Urgency `json:"urgency"`
	Phase     Phase          `json:"stage"`
	Since     time.Time      `json:"since"`
	Arrival   time.Time      `json:"arrival"`
	Deadline  time.Time      `json:"deadline"`
	Tokens    int64          `json:"tokens"`
}

func (h *inHand) dump() ([]InHandEntry, []Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	entries := make([]InHandEntry, 0, len(h.entries))
	for _, e := range h.entries {
		stage, since := e.at()
		entries = append(entries, InHandEntry{
			RequestID: e.id.RequestID, Profile: e.profile.Name, Workspace: e.profile.Workspace,
			Urgency: e.profile.Urgency, Phase: stage, Since: since, Arrival: e.id.Arrival,
			Deadline: e.deadline, Tokens: e.tokens.Load(),
		})
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Arrival.Before(entries[j].Arrival) })
	return entries, append([]Record(nil), h.failures...)
}
