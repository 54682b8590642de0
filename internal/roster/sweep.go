package roster

import (
	"context"
	"strings"
	"time"

	"geraniumcroft/internal/platform"
)

// Sweep deletes the rows of VMs that died without deleting their own. Only the VM that holds the
// lease of the sweep duty calls it.
func (r *Roster) Sweep(ctx context.Context, now time.Time) error {
	rows, err := r.scan(ctx)
	if err != nil {
		return err
	}
	for _, row := range r.expired(rows, now) {
		if err := r.commit(ctx, row, platform.Write{Key: row.Key, Delete: true}); err != nil {
			return err
		}
	}
	return nil
}

// expired returns the rows whose VMs have been dead or unknown for rowRetention.
func (r *Roster) expired(rows []platform.Row, now time.Time) []platform.Row {
	serving := map[string]bool{r.vm: true}
	for _, member := range r.members.Members() {
		serving[member.Name] = member.MayServe()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.lastSweep) > maxSweepGap {
		clear(r.notServingSince)
	}
	r.lastSweep = now
	notServingSince := map[string]time.Time{}
	var expired []platform.Row
	for _, row := range rows {
		name := strings.TrimPrefix(row.Key, rowPrefix)
		if serving[name] {
			continue
		}
		since, known := r.notServingSince[name]
		if !known {
			since = now
		}
		notServingSince[name] = since
		if now.Sub(since) >= rowRetention {
			expired = append(expired, row)
		}
	}
	r.notServingSince = notServingSince
	return expired
}
