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
	"geraniumcroft/internal/engine"
)

// maxConcurrent bounds the readings under way.
const maxConcurrent = 32

// Engines is what the watcher asks engines.
type Engines interface {
	Load(ctx context.Context, address string) (engine.LoadReport, error)
	CacheEvents(ctx context.Context, address string, after uint64) (engine.CacheEvents, error)
}

// Services is what the watcher asks plain services.
type Services interface {
	Load(ctx context.Context, address string) (engine.LoadReport, error)
}

// Sink takes what was read.
type Sink interface {
	Report(target string, r engine.LoadReport)
	CacheEvents(target string, e engine.CacheEvents)
}

// Options configure a Watcher.
type Options struct {
	Source   config.Source
	Engines  Engines
	Services Services
	Sink     Sink
	// Watched tells whether this VM sends to the target at all; nil watches all.
	Watched func(target string) bool
	// Interval is the time between two readings of one target.
	Interval time.Duration
}

// Watcher reads all targets of the configuration in force.
type Watcher struct {
	options Options
	// seen is the newest sequence number of each engine's cache events. Only the
	// goroutine of Run touches it, between rounds.
	seen map[string]uint64
}

// New returns a watcher; Run makes it read.
func New(o Options) *Watcher {
	if o.Watched == nil {
		o.Watched = func(string) bool { return true }
	}
	return &Watcher{options: o, seen: map[string]uint64{}}
}

// Run reads until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	ticker := time.NewTicker(w.options.Interval)
	defer ticker.Stop()
	for {
		w.round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// round reads each target once; a target that has gone is forgotten.
func (w *Watcher) round(ctx context.Context) {
	targets := w.watched()
	if len(targets) == 0 {
		return
	}
	pace := w.options.Interval / time.Duration(2*len(targets))
	newest := make([]uint64, len(targets))
	var group errgroup.Group
	group.SetLimit(maxConcurrent)
	for i, target := range targets {
		newest[i] = w.seen[target.Name]
		group.Go(func() error {
			newest[i] = w.read(ctx, target, newest[i])
			return nil
		})
		if !pause(ctx, pace) {
			break
		}
	}
	_ = group.Wait()
	w.seen = make(map[string]uint64, len(targets))
	for i, target := range targets {
		w.seen[target.Name] = newest[i]
	}
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

// read returns the newest sequence number of cache events.
func (w *Watcher) read(ctx context.Context, target *config.Target, after uint64) uint64 {
	ctx, cancel := context.WithTimeout(ctx, 2*w.options.Interval)
	defer cancel()
	if target.Kind == config.KindService {
		if report, err := w.options.Services.Load(ctx, target.Address); err == nil {
			w.options.Sink.Report(target.Name, report)
		}
		return 0
	}
	if report, err := w.options.Engines.Load(ctx, target.Address); err == nil {
		w.options.Sink.Report(target.Name, report)
	}
	events, err := w.options.Engines.CacheEvents(ctx, target.Address, after)
	if err != nil || len(events.Events) == 0 && !events.Gap {
		return after
	}
	w.options.Sink.CacheEvents(target.Name, events)
	if len(events.Events) == 0 {
		return after
	}
	return events.Events[len(events.Events)-1].Seq
}

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
