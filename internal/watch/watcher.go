// Package watch reads targets' load reports and cache events at an interval.
//
// A report lags and may not come at all. Each reading is bounded and readings of
// different targets do not wait for each other, so a target that went silent
// costs its own report only; its old one ages in package balance until it counts
// nothing. Readings are spread over the interval, or all targets would be asked
// in one burst.
package watch

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/sleep"
)

// maxConcurrent bounds the readings under way.
const maxConcurrent = 32

// Watcher reads all targets of the configuration in force.
type Watcher struct {
	options Options
}

// New returns a watcher; Run makes it read.
func New(o Options) *Watcher {
	if o.Watched == nil {
		o.Watched = func(string) bool { return true }
	}
	return &Watcher{options: o}
}

// Run reads until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		next := time.After(w.options.Interval)
		w.round(ctx)
		select {
		case <-ctx.Done():
		case <-next:
		}
	}
}

// round reads each target once.
func (w *Watcher) round(ctx context.Context) {
	targets := w.watched()
	if len(targets) == 0 {
		return
	}
	pace := w.options.Interval / time.Duration(2*len(targets))
	var group errgroup.Group
	group.SetLimit(maxConcurrent)
	for _, target := range targets {
		group.Go(func() error {
			w.read(ctx, target)
			return nil
		})
		if !sleep.For(ctx, pace) {
			break
		}
	}
	_ = group.Wait()
}

func (w *Watcher) watched() []*config.Target {
	var targets []*config.Target
	for _, target := range w.options.Source.Current().Targets {
		if w.options.Watched(target.Name) {
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
