package security

import (
	"sync/atomic"

	"go.uber.org/zap"
)

// reloading holds a value that is loaded from files and reloaded when they change.
type reloading[T any] struct {
	what    string // names the value in the log
	load    func() (*T, error)
	logger  *zap.Logger
	current atomic.Pointer[T]
	watcher *watcher
	// onReload, if not nil, is called with the result of each reload.
	onReload func(error)
}

// newReloading loads the value and watches the files until close.
func newReloading[T any](what string, paths []string, o Options, load func() (*T, error)) (*reloading[T], error) {
	r := &reloading[T]{what: what, load: load, logger: o.logger(), onReload: o.OnReload}
	value, err := load()
	if err != nil {
		return nil, err
	}
	r.current.Store(value)
	r.watcher = watch(paths, o, r.reload)
	return r, nil
}

// reload loads the value again. If that fails it keeps the previous value.
func (r *reloading[T]) reload() {
	value, err := r.load()
	if err != nil {
		r.logger.Error("changed files are not in order, what was read before stays in force", zap.String("what", r.what), zap.Error(err))
	} else {
		r.current.Store(value)
		r.logger.Info("read changed files", zap.String("what", r.what))
	}
	if r.onReload != nil {
		r.onReload(err)
	}
}

func (r *reloading[T]) get() *T { return r.current.Load() }

func (r *reloading[T]) close() { r.watcher.close() }
