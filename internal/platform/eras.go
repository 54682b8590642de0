package platform

import (
	"sync"

	"go.uber.org/zap"
)

// Eras tracks the newest era of the store that this VM has heard of, from the store's own answers or
// from peers. It is safe for concurrent use.
type Eras struct {
	logger *zap.Logger

	mu      sync.Mutex // guards the fields below
	current uint64
	known   bool
	// unnamed says that the store has answered without an era before one was known.
	unnamed bool
	// faulty says that the last answer of the store had no valid era.
	faulty  bool
	onRaise []func(era uint64)
}

// NewEras returns an Eras that has heard of no era yet.
func NewEras(logger *zap.Logger) *Eras { return &Eras{logger: logger} }

// Current returns the newest era, 0 if none is known.
func (e *Eras) Current() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// OnRaise adds a function that is called with each newer era, but not with the first one, unless the
// store had answered without an era before. It must not block.
func (e *Eras) OnRaise(f func(era uint64)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onRaise = append(e.onRaise, f)
}

// Raise records an era that a peer or the store named. A lower one than the current has no effect.
func (e *Eras) Raise(era uint64) {
	e.mu.Lock()
	before, first := e.current, !e.known && !e.unnamed
	if e.known && era <= before {
		e.mu.Unlock()
		return
	}
	e.current, e.known = era, true
	listeners := e.onRaise
	e.mu.Unlock()
	if first {
		e.logger.Info("era of the store known", zap.Uint64("era", era))
		return
	}
	e.logger.Warn("the store has come back from an older copy", zap.Uint64("era", era), zap.Uint64("before", before))
	for _, f := range listeners {
		f(era)
	}
}

// Observe records the era of an answer of the store; text is the header's value and present whether
// there is one. It returns a *EraError if the answer can't be ordered, and must then not be applied: it
// may be that of a call made before the store came back, and what it says may have been lost. A store
// that has never named an era is taken to have only one.
func (e *Eras) Observe(text string, present bool) (uint64, error) {
	era, err := parseEra(text, present)
	e.mu.Lock()
	current, known, wasFaulty := e.current, e.known, e.faulty
	if err == nil && present && known && era < current {
		err = &EraError{Found: text, Current: current, Fault: EraFell}
	}
	if err == nil && !present && known {
		err = &EraError{Current: current, Fault: EraMissing}
	}
	e.unnamed = e.unnamed || !present
	e.faulty = err != nil
	e.mu.Unlock()
	if err != nil {
		if !wasFaulty {
			e.logger.Error("answer of the store without a usable era", zap.Error(err))
		}
		return 0, err
	}
	if present {
		e.Raise(era)
	}
	return era, nil
}
