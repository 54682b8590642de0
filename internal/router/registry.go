package router

import (
	"maps"
	"slices"
	"sort"
	"sync"
	"time"

	"geraniumcroft/internal/config"
)

// maxFailures is the number of failures that are kept for the dump.
const maxFailures = 128

// registry has the requests in progress, that is, those that have arrived and not ended,
// and the most recent failures.
type registry struct {
	mu          sync.Mutex // guards the fields below
	entries     map[string]*entry
	byWorkspace map[string]int
	byProfile   map[string]int
	failures    []Record
}

func newRegistry() *registry {
	return &registry{entries: map[string]*entry{}, byWorkspace: map[string]int{}, byProfile: map[string]int{}}
}

// add adds the entry unless a limit on requests in progress is reached. In that case it
// returns whose limit it is, "workspace" or "profile". workspaceMax is 0 for no limit.
func (reg *registry) add(e *entry, workspaceMax int) (limit string) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if workspaceMax > 0 && reg.byWorkspace[e.profile.Workspace] >= workspaceMax {
		return "workspace"
	}
	profileMax := e.profile.Limits.MaxInFlight
	if profileMax > 0 && reg.byProfile[e.profile.Name] >= profileMax {
		return "profile"
	}
	reg.entries[e.meta.RequestID] = e
	reg.byWorkspace[e.profile.Workspace]++
	reg.byProfile[e.profile.Name]++
	return ""
}

func (reg *registry) remove(e *entry) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	delete(reg.entries, e.meta.RequestID)
	decrement(reg.byWorkspace, e.profile.Workspace)
	decrement(reg.byProfile, e.profile.Name)
}

func decrement(counts map[string]int, name string) {
	counts[name]--
	if counts[name] == 0 {
		delete(counts, name)
	}
}

func (reg *registry) count() int {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return len(reg.entries)
}

// pools returns the pools of all requests in progress.
func (reg *registry) pools() []string {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	seen := map[string]bool{}
	for _, e := range reg.entries {
		seen[e.pool] = true
	}
	return slices.Collect(maps.Keys(seen))
}

// addFailure adds a failure to the most recent ones.
func (reg *registry) addFailure(r Record) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if len(reg.failures) == maxFailures {
		reg.failures = reg.failures[1:]
	}
	reg.failures = append(reg.failures, r)
}

// preemptible returns the running bulk generation of the pool that has the fewest tokens,
// because it loses the least by waiting. It returns nil if there is none.
func (reg *registry) preemptible(pool string) *entry {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	var best *entry
	for _, e := range reg.entries {
		if e.pool != pool || e.preempt == nil || e.profile.Urgency != config.Bulk {
			continue
		}
		if phase, _ := e.currentPhase(); phase != PhaseRunning || len(e.preempt) > 0 {
			continue
		}
		if best == nil || e.tokens.Load() < best.tokens.Load() {
			best = e
		}
	}
	return best
}

// InHandEntry describes one request in progress, for the dump.
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

// dump returns the requests in progress, the oldest first, and the most recent failures.
func (reg *registry) dump() ([]InHandEntry, []Record) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	entries := make([]InHandEntry, 0, len(reg.entries))
	for _, e := range reg.entries {
		phase, since := e.currentPhase()
		entries = append(entries, InHandEntry{
			RequestID: e.meta.RequestID, Profile: e.profile.Name, Workspace: e.profile.Workspace,
			Urgency: e.profile.Urgency, Phase: phase, Since: since, Arrival: e.meta.Arrival,
			Deadline: e.deadline, Tokens: e.tokens.Load(),
		})
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Arrival.Before(entries[j].Arrival) })
	return entries, append([]Record(nil), reg.failures...)
}
