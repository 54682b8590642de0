// Package watch reads targets' load reports and cache events periodically.
//
// Reports are delayed and may be missing. Each reading has a timeout, each target has at most
// one reading in progress, and no reading waits for that of another target. A silent target
// therefore delays no report but its own; in package balance its last report loses weight
// with age until it is ignored. The same is true when a whole data centre goes silent at
// once. Readings are spread over the interval to avoid a burst of requests to all targets.
package watch

import (
	"context"
	"sync"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/sleep"
)

// Watcher reads the targets of the current configuration.
type Watcher struct {
	options  Options
	readings sync.WaitGroup

	mu         sync.Mutex // guards inProgress
	inProgress map[string]bool
}

// New returns a watcher. It reads nothing before Run.
func New(o Options) *Watcher {
	if o.IsWatched == nil {
		o.IsWatched = func(string) bool { return true }
	}
	return &Watcher{options: o, inProgress: map[string]bool{}}
}

// Run reads the targets until ctx ends, and returns once all readings have ended.
func (w *Watcher) Run(ctx context.Context) {
	defer w.readings.Wait()
	for ctx.Err() == nil {
		next := time.After(w.options.Interval)
		w.round(ctx)
		select {
		case <-ctx.Done():
		case <-next:
		}
	}
}

// round starts a reading of each target, spread over half the interval. It does not wait for
// them to end: when a data centre is lost, all its targets are silent until their timeouts,
// and waiting would delay the reports of all other targets by as much.
func (w *Watcher) round(ctx context.Context) {
	targets := w.watched()
	if len(targets) == 0 {
		return
	}
	spacing := w.options.Interval / time.Duration(2*len(targets))
	for _, target := range targets {
		if w.begin(target.Name) {
			w.readings.Go(func() {
				defer w.end(target.Name)
				w.read(ctx, target)
			})
		}
		if !sleep.For(ctx, spacing) {
			return
		}
	}
}

// begin marks a reading of the target as in progress. It returns false if the previous
// reading has not ended.
func (w *Watcher) begin(target string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.inProgress[target] {
		return false
	}
	w.inProgress[target] = true
	return true
}

func (w *Watcher) end(target string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.inProgress, target)
}

func (w *Watcher) watched() []*config.Target {
	var targets []*config.Target
	for _, target := range w.options.ConfigSource.Current().Targets {
		if w.options.IsWatched(target.Name) {
			targets = append(targets, target)
		}
	}
	return targets
}

func (w *Watcher) read(ctx context.Context, target *config.Target) {
	ctx, cancel := context.WithTimeout(ctx, 2*w.options.Interval)
	defer cancel()
	if target.Kind == config.KindService {
		if report, err := w.options.Services.Load(ctx, target.Address); err == nil {
			w.options.Sink.Report(target.Name, report)
		}
		return
	}
	if report, err := w.options.Engines.Load(ctx, target.Address); err == nil {
		w.options.Sink.Report(target.Name, report)
	}
	w.readCache(ctx, target)
}

func (w *Watcher) readCache(ctx context.Context, target *config.Target) {
	after, whole := w.options.Sink.CacheCursor(target.Name)
	events, err := w.options.Engines.CacheEvents(ctx, target.Address, after)
	if err != nil {
		return
	}
	if whole {
		w.options.Sink.CacheView(target.Name, events)
		return
	}
	w.options.Sink.CacheEvents(target.Name, events)
}
