package roster

import (
	"context"
	"strings"
	"time"

	"geraniumcroft/internal/platform"
)

// Sweep deletes rows of VMs that died without deleting their own. Only the holder
// of the duty calls it.
func (r *Roster) Sweep(ctx context.Context, now time.Time) error {
	rows, err := r.scan(ctx)
	if err != nil {
		return err
	}
	for _, row := range r.forgotten(rows, now) {
		if err := r.commit(ctx, row, platform.Write{Key: row.Key, Delete: true}); err != nil {
			return err
		}
	}
	return nil
}

// forgotten returns the rows whose VMs have been in doubt for long enough.
func (r *Roster) forgotten(rows []platform.Row, now time.Time) []platform.Row {
	serving := map[string]bool{r.vm: true}
	for _, member := range r.members.Members() {
		serving[member.Name] = member.MayServe()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.swept) > sweepGap {
		clear(r.doubted)
	}
	r.swept = now
	doubted := map[string]time.Time{}
	var forgotten []platform.Row
	for _, row := range rows {
		name := strings.TrimPrefix(row.Key, rowPrefix)
		if serving[name] {
			continue
		}
		since, before := r.doubted[name]
		if !before {
			since = now
		}
		doubted[name] = since
		if now.Sub(since) >= forgetAfter {
			forgotten = append(forgotten, row)
		}
	}
	r.doubted = doubted
	return forgotten
}
