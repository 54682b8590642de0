package adminapi

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/kataras/iris/v12"
	"go.uber.org/zap"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/confstore"
)

// maxStateAttempts is how often a state change is tried if concurrent changes of the
// target conflict with it.
const maxStateAttempts = 5

// setState returns the handler that sets a target's state, to drain or undrain it. It
// needs no If-Match: it changes only the state in the target's latest revision, so it
// can't overwrite a concurrent change.
func (a *API) setState(state config.TargetState) iris.Handler {
	return func(ctx iris.Context) {
		wait, problem := waitParam(ctx)
		if problem != nil {
			writeProblem(ctx, problem)
			return
		}
		a.setStateWithRetries(ctx, state, wait)
	}
}

// setStateWithRetries sets the state and repeats the attempt after a conflict.
func (a *API) setStateWithRetries(ctx iris.Context, state config.TargetState, wait time.Duration) {
	// This VM's configuration may be outdated: in it the target may still have the
	// requested state although that has changed since.
	if err := a.options.Store.Poll(ctx.Request().Context()); err != nil {
		writeProblem(ctx, historyUnavailable(err))
		return
	}
	var conflict *confstore.ConflictError
	err := a.trySetState(ctx, state, wait)
	for attempts := 1; attempts < maxStateAttempts && errors.As(err, &conflict); attempts++ {
		err = a.trySetState(ctx, state, wait)
	}
	if err != nil {
		a.writeChangeError(ctx, err)
	}
}

// trySetState makes one attempt. It returns an error if the proposal fails; otherwise
// it has answered the request.
func (a *API) trySetState(ctx iris.Context, state config.TargetState, wait time.Duration) error {
	name := ctx.Params().Get("name")
	target, ok := a.options.Store.Current().Targets[name]
	switch {
	case !ok:
		writeProblem(ctx, entityNotFound(config.EntityTarget, name))
		return nil
	case target.State == state:
		a.writeUnchanged(ctx, target, wait)
		return nil
	case target.State == config.StateReloading && state == config.StateActive:
		writeProblem(ctx, reloadingProblem(target))
		return nil
	}
	change, err := a.proposeState(ctx, target, state)
	if err != nil {
		return err
	}
	a.options.Logger.Info("target's state changed", zap.String("author", change.Author),
		zap.String("name", change.Name), zap.String("state", string(state)))
	a.writeChange(ctx, change, wait)
	return nil
}

// proposeState proposes target with another state. Each attempt needs a new change
// ID, since the target's other fields may differ from the previous attempt.
func (a *API) proposeState(ctx iris.Context, target *config.Target, state config.TargetState) (config.Change, error) {
	changed := *target
	changed.State = state
	value, err := json.Marshal(changed)
	if err != nil {
		return config.Change{}, errors.Wrap(err, "encode the target")
	}
	request := ctx.Request().Context()
	return a.options.Store.Propose(request, confstore.Proposal{
		ID:         uuid.NewString(),
		Author:     authorOf(request),
		Kind:       config.EntityTarget,
		Name:       target.Name,
		Value:      value,
		IfRevision: target.Revision,
	})
}

// writeUnchanged answers for a target that already has the requested state.
func (a *API) writeUnchanged(ctx iris.Context, target *config.Target, wait time.Duration) {
	body := newChangeResponse(a.waitForAcceptance(ctx, target.Revision, wait))
	body.Unchanged = true
	ctx.Header("ETag", etag(target.Revision))
	writeJSON(ctx, body.httpStatus(), body)
}

// reloadingProblem refuses to undrain a target that is being reloaded, since the
// reload would abort its requests. The holder of the orders lease makes the target
// active again.
func reloadingProblem(target *config.Target) *Problem {
	return &Problem{
		Status: http.StatusConflict, Code: CodeReloading, Title: "The target is being reloaded",
		Detail: target.Name + " takes work again by itself when it is loaded.", Revision: target.Revision,
	}
}
