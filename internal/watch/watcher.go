// Package watch reads targets' load reports and cache events at an interval.
//
// A report lags and may not come at all. Each reading is bounded, each target has at
// most one under way, and no reading waits for another target's, so a target that
// went silent costs its own report only; its old one ages in package balance until
// it counts nothing. The same holds for a whole data centre that goes silent at
// once. Readings are spread over the interval, or all targets would be asked in one
// burst.
package watch

import (
	"context"
	"sync"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/sleep"
)

// Watcher reads all targets of the configuration in force.
type Watcher struct {
	options  Options
	readings sync.WaitGroup

	mu      sync.Mutex // guards reading
	reading map[string]bool
}

// New returns a watcher; Run makes it read.
func New(o Options) *Watcher {
	if o.IsWatched == nil {
		o.IsWatched = func(string) bool { return true }
	}
	return &Watcher{options: o, reading: map[string]bool{}}
}

// Run reads until ctx ends.
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

// round starts a reading of each target. It does not wait for them: the targets of a
// lost data centre are silent all at once, each up to its bound, and the reports of
// all others would come as late as theirs do not.
func (w *Watcher) round(ctx context.Context) {
	targets := w.watched()
	if len(targets) == 0 {
		return
	}
	pace := w.options.Interval / time.Duration(2*len(targets))
	for _, target := range targets {
		if w.begin(target.Name) {
			w.readings.Go(func() {
				defer w.end(target.Name)
				w.read(ctx, target)
			})
		}
		if !sleep.For(ctx, pace) {
			return
		}
	}
}

// begin reports whether the target is to be read: one that is still being read has
// not answered.
func (w *Watcher) begin(target string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reading[target] {
		return false
	}
	w.reading[target] = true
	return true
}

func (w *Watcher) end(target string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.reading, target)
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
