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

// maxStateAttempts bounds how often other changes of a target may come first.
const maxStateAttempts = 5

// setState drains a target or takes it back. It needs no If-Match: it changes the
// state alone, of whatever the target is by then, so it overwrites nobody's change.
func (a *API) setState(state config.TargetState) iris.Handler {
	return func(ctx iris.Context) {
		wait, problem := waitOf(ctx)
		if problem != nil {
			fail(ctx, problem)
			return
		}
		a.changeState(ctx, state, wait)
	}
}

func (a *API) changeState(ctx iris.Context, state config.TargetState, wait time.Duration) {
	// This VM may lag: by its old view the target may be in that state already,
	// while someone has just taken it out of it.
	if err := a.options.Store.Poll(ctx.Request().Context()); err != nil {
		fail(ctx, unreadable(err))
		return
	}
	var conflict *confstore.ConflictError
	err := a.tryState(ctx, state, wait)
	for attempts := 1; attempts < maxStateAttempts && errors.As(err, &conflict); attempts++ {
		err = a.tryState(ctx, state, wait)
	}
	if err != nil {
		a.failChange(ctx, err)
	}
}

// tryState makes one attempt and answers, unless the proposal fails.
func (a *API) tryState(ctx iris.Context, state config.TargetState, wait time.Duration) error {
	name := ctx.Params().Get("name")
	target, ok := a.options.Store.Current().Targets[name]
	switch {
	case !ok:
		fail(ctx, noEntity(config.EntityTarget, name))
		return nil
	case target.State == state:
		a.answerUnchanged(ctx, target, wait)
		return nil
	case target.State == config.StateReloading && state == config.StateActive:
		fail(ctx, reloading(target))
		return nil
	}
	change, err := a.proposeState(ctx, target, state)
	if err != nil {
		return err
	}
	a.options.Logger.Info("target's state changed", zap.String("author", change.Author),
		zap.String("name", change.Name), zap.String("state", string(state)))
	a.answerChange(ctx, change, wait)
	return nil
}

// proposeState takes a fresh id for each attempt: the target's other fields may
// differ from those of the attempt before.
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

func (a *API) answerUnchanged(ctx iris.Context, target *config.Target, wait time.Duration) {
	body := changeAnswer(a.acceptance(ctx, target.Revision, wait))
	body.Unchanged = true
	ctx.Header("ETag", etag(target.Revision))
	answer(ctx, body.httpStatus(), body)
}

// reloading refuses to give work to a target that is being reloaded: the reload
// would cut it off. The holder of the orders' lease makes the target active again.
func reloading(target *config.Target) *Problem {
	return &Problem{
		Status: http.StatusConflict, Code: CodeReloading, Title: "The target is being reloaded",
		Detail: target.Name + " takes work again by itself when it is loaded.", Revision: target.Revision,
	}
}
