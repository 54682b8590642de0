package security

import (
	"sync/atomic"

	"go.uber.org/zap"
)

// reloading is a value that is made from files and made again when they change.
type reloading[T any] struct {
	what    string
	load    func() (*T, error)
	logger  *zap.Logger
	current atomic.Pointer[T]
	watcher *watcher
	// reloaded, when not nil, is told the result of each reload.
	reloaded func(error)
}

// newReloading loads the value and, until close, watches the files.
func newReloading[T any](what string, paths []string, o Options, load func() (*T, error)) (*reloading[T], error) {
	r := &reloading[T]{what: what, load: load, logger: o.logger(), reloaded: o.OnReload}
	value, err := load()
	if err != nil {
		return nil, err
	}
	r.current.Store(value)
	r.watcher = watch(paths, o, r.reload)
	return r, nil
}

// reload keeps the value in force when the files are not in order.
func (r *reloading[T]) reload() {
	value, err := r.load()
	if err != nil {
		r.logger.Error("changed files are not in order, what was read before stays in force", zap.String("what", r.what), zap.Error(err))
	} else {
		r.current.Store(value)
		r.logger.Info("read changed files", zap.String("what", r.what))
	}
	if r.reloaded != nil {
		r.reloaded(err)
	}
}

func (r *reloading[T]) get() *T { return r.current.Load() }

func (r *reloading[T]) close() { r.watcher.close() }
