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

// listChanges lists the history after a version, or the change with the given ID.
func (a *API) listChanges(ctx iris.Context) {
	if id := ctx.URLParam("id"); id != "" {
		a.lookupChange(ctx, id)
		return
	}
	after, problem := numberParam(ctx, "after", 0)
	if problem != nil {
		writeProblem(ctx, problem)
		return
	}
	limit, problem := numberParam(ctx, "limit", defaultChangesLimit)
	if problem != nil {
		writeProblem(ctx, problem)
		return
	}
	changes, err := a.options.Store.History(ctx.Request().Context(), after, int(min(limit, maxChangesLimit)))
	if err != nil {
		writeProblem(ctx, historyUnavailable(err))
		return
	}
	writeJSON(ctx, http.StatusOK, a.newChangesResponse(changes))
}

func (a *API) newChangesResponse(changes []config.Change) ChangesResponse {
	body := ChangesResponse{Version: a.options.Store.Current().Version, Changes: []config.Change{}}
	for _, change := range changes {
		body.Changes = append(body.Changes, viewOfChange(change))
	}
	return body
}

// lookupChange answers with the result of the change with the given ID.
func (a *API) lookupChange(ctx iris.Context, id string) {
	change, err := a.options.Store.Lookup(ctx.Request().Context(), id)
	var unknown *confstore.UnknownChangeError
	var notWritten *confstore.NotWrittenError
	var pending *confstore.PendingError
	switch {
	case err == nil:
		writeJSON(ctx, http.StatusOK, a.newChangesResponse([]config.Change{change}))
	case errors.As(err, &unknown):
		writeProblem(ctx, &Problem{
			Status: http.StatusNotFound, Code: CodeUnknownChange, Title: "Unknown change", Detail: err.Error(), ID: id,
		})
	case errors.As(err, &notWritten):
		writeProblem(ctx, &Problem{
			Status: http.StatusGone, Code: CodeNotWritten, Title: "Not written", ID: id,
			Detail: "The change was not written and will not be.",
		})
	case errors.As(err, &pending):
		a.writeChangeError(ctx, err)
	default:
		writeProblem(ctx, historyUnavailable(err))
	}
}

// showChange answers with one change and where it is in force. The change itself is
// left out if the history can't be read or no longer holds it.
func (a *API) showChange(ctx iris.Context) {
	version, err := strconv.ParseUint(ctx.Params().Get("version"), 10, 64)
	if err != nil || version == 0 {
		writeProblem(ctx, badRequest("A version is a whole number from 1 on."))
		return
	}
	wait, problem := waitParam(ctx)
	if problem != nil {
		writeProblem(ctx, problem)
		return
	}
	body := ChangeDetails{ChangeResponse: newChangeResponse(a.waitForAcceptance(ctx, version, wait))}
	changes, err := a.options.Store.History(ctx.Request().Context(), version-1, 1)
	if err == nil && len(changes) == 1 && changes[0].Version == version {
		shown := viewOfChange(changes[0])
		body.Change = &shown
		body.ID = shown.ID
	}
	body.Committed = body.Change != nil || version <= a.options.Store.Current().Version
	writeJSON(ctx, http.StatusOK, body)
}

// numberParam returns a query parameter as a number, or defaultValue without it.
func numberParam(ctx iris.Context, name string, defaultValue uint64) (uint64, *Problem) {
	text := ctx.URLParam(name)
	if text == "" {
		return defaultValue, nil
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, badRequest(name + " takes a whole number.")
	}
	return number, nil
}

// historyUnavailable is the problem for an error of reading the table.
func historyUnavailable(err error) *Problem {
	return &Problem{
		Status: http.StatusServiceUnavailable, Code: CodeUnavailable, Title: "The history can't be read now",
		Detail: err.Error(),
	}
}
