package adminapi

import (
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/confstore"
)

const (
	defaultChangesLimit = 100
	maxChangesLimit     = 256
)

func (a *API) listChanges(ctx iris.Context) {
	if id := ctx.URLParam("id"); id != "" {
		a.lookUpChange(ctx, id)
		return
	}
	after, problem := numberParam(ctx, "after", 0)
	if problem != nil {
		fail(ctx, problem)
		return
	}
	limit, problem := numberParam(ctx, "limit", defaultChangesLimit)
	if problem != nil {
		fail(ctx, problem)
		return
	}
	changes, err := a.options.Store.History(ctx.Request().Context(), after, int(min(limit, maxChangesLimit)))
	if err != nil {
		fail(ctx, unreadable(err))
		return
	}
	answer(ctx, http.StatusOK, a.changesAnswer(changes))
}

func (a *API) changesAnswer(changes []config.Change) ChangesResponse {
	body := ChangesResponse{Version: a.options.Store.Current().Version, Changes: []config.Change{}}
	for _, change := range changes {
		body.Changes = append(body.Changes, viewOfChange(change))
	}
	return body
}

func (a *API) lookUpChange(ctx iris.Context, id string) {
	change, err := a.options.Store.Lookup(ctx.Request().Context(), id)
	var unknown *confstore.UnknownChangeError
	var notWritten *confstore.NotWrittenError
	var pending *confstore.PendingError
	switch {
	case err == nil:
		answer(ctx, http.StatusOK, a.changesAnswer([]config.Change{change}))
	case errors.As(err, &unknown):
		fail(ctx, &Problem{
			Status: http.StatusNotFound, Code: CodeUnknownChange, Title: "Unknown change", Detail: err.Error(), ID: id,
		})
	case errors.As(err, &notWritten):
		fail(ctx, &Problem{
			Status: http.StatusGone, Code: CodeNotWritten, Title: "Not written", ID: id,
			Detail: "The change was not written and will not be.",
		})
	case errors.As(err, &pending):
		a.failChange(ctx, err)
	default:
		fail(ctx, unreadable(err))
	}
}

func (a *API) showChange(ctx iris.Context) {
	version, err := strconv.ParseUint(ctx.Params().Get("version"), 10, 64)
	if err != nil || version == 0 {
		fail(ctx, badRequest("A version is a whole number from 1 on."))
		return
	}
	wait, problem := waitOf(ctx)
	if problem != nil {
		fail(ctx, problem)
		return
	}
	body := ChangeDetails{ChangeResponse: changeAnswer(a.acceptance(ctx, version, wait))}
	changes, err := a.options.Store.History(ctx.Request().Context(), version-1, 1)
	if err == nil && len(changes) == 1 && changes[0].Version == version {
		shown := viewOfChange(changes[0])
		body.Change = &shown
		body.ID = shown.ID
	}
	body.Committed = body.Change != nil || version <= a.options.Store.Current().Version
	answer(ctx, http.StatusOK, body)
}

func numberParam(ctx iris.Context, name string, otherwise uint64) (uint64, *Problem) {
	text := ctx.URLParam(name)
	if text == "" {
		return otherwise, nil
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, badRequest(name + " takes a whole number.")
	}
	return number, nil
}

func unreadable(err error) *Problem {
	return &Problem{
		Status: http.StatusServiceUnavailable, Code: CodeUnavailable, Title: "The history can't be read now",
		Detail: err.Error(),
	}
}
