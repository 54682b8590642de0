package loads

import (
	"encoding/json"
	"sync"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/layers"
	"geraniumcroft/internal/platform"
)

// TableName names the board among the tables that peers copy from each other.
const TableName = "loads"

// Board is this VM's copy of the replicas' loads.
type Board struct {
	onChange func(map[string]layers.Load)
	logger   *zap.Logger

	mu   sync.Mutex // guards the fields below
	view *platform.TableView
	at   time.Time
}

// NewBoard returns an empty board; each newer one goes to onChange.
func NewBoard(onChange func(map[string]layers.Load), logger *zap.Logger) *Board {
	return &Board{onChange: onChange, logger: logger}
}

// View returns the board for peers, and its age. It is nil before the first.
func (b *Board) View() (*platform.TableView, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view, time.Since(b.at)
}

func (b *Board) revision() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.view == nil {
		return 0
	}
	return b.view.Revision
}

// publish puts up what this VM has learned as the holder of the duty.
func (b *Board) publish(revision uint64, loads map[string]layers.Load) {
	view := platform.TableView{Revision: revision, Rows: make(map[string][]byte, len(loads))}
	for id, load := range loads {
		row, err := json.Marshal(load)
		if err != nil {
			b.logger.Error("load not encoded", zap.String("replica", id), zap.Error(err))
			continue
		}
		view.Rows[id] = row
	}
	b.put(view, time.Now(), loads)
}

// take copies a peer's board, which has the given age, if it is newer.
func (b *Board) take(view platform.TableView, age time.Duration) {
	loads := make(map[string]layers.Load, len(view.Rows))
	for id, row := range view.Rows {
		var load layers.Load
		if err := json.Unmarshal(row, &load); err != nil {
			b.logger.Warn("load not read", zap.String("replica", id), zap.Error(err))
			continue
		}
		loads[id] = load
	}
	b.put(view, time.Now().Add(-age), loads)
}

func (b *Board) put(view platform.TableView, at time.Time, loads map[string]layers.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.view != nil && view.Revision <= b.view.Revision {
		return
	}
	b.view, b.at = &view, at
	for id, load := range loads {
		load.At = at
		loads[id] = load
	}
	b.onChange(loads)
}
