package adminapi

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"
	"go.uber.org/zap"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/confstore"
)

// put returns the handler that creates or replaces an entity.
func (a *API) put(kind config.EntityKind) iris.Handler {
	return func(ctx iris.Context) {
		e, problem := readEdit(ctx, kind, true)
		if problem == nil {
			e.value, problem = a.readValue(ctx, e)
		}
		if problem != nil {
			writeProblem(ctx, problem)
			return
		}
		a.change(ctx, e)
	}
}

// remove returns the handler that deletes an entity.
func (a *API) remove(kind config.EntityKind) iris.Handler {
	return func(ctx iris.Context) {
		e, problem := readEdit(ctx, kind, false)
		if problem != nil {
			writeProblem(ctx, problem)
			return
		}
		a.change(ctx, e)
	}
}

// readValue reads the entity from the body. It only checks that the body is JSON
// and not null; the store validates the entity.
func (a *API) readValue(ctx iris.Context, e edit) (json.RawMessage, *Problem) {
	body, err := io.ReadAll(ctx.Request().Body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &Problem{
			Status: http.StatusRequestEntityTooLarge,
			Code:   CodeTooLarge,
			Title:  "Too large",
			Detail: "An entity has at most " + strconv.Itoa(confstore.MaxValueBytes) + " bytes.",
		}
	case err != nil:
		return nil, badRequest("The body did not arrive whole.")
	case !json.Valid(body):
		return nil, badRequest("The body is not one JSON value.")
	case string(bytes.TrimSpace(body)) == "null":
		return nil, badRequest("The body is null; use DELETE to delete.")
	}
	if e.kind == config.EntityWorkspace {
		return a.fillKeyDigests(ctx, e, body)
	}
	return body, nil
}

// change proposes an edit and answers with its result.
func (a *API) change(ctx iris.Context, e edit) {
	request := ctx.Request().Context()
	change, err := a.options.Store.Propose(request, confstore.Proposal{
		ID:         e.id,
		Author:     authorOf(request),
		Kind:       e.kind,
		Name:       e.name,
		Value:      e.value,
		IfRevision: e.revision,
	})
	if err != nil {
		a.writeChangeError(ctx, err)
		return
	}
	a.options.Logger.Info("configuration changed",
		zap.String("author", change.Author), zap.String("kind", string(e.kind)), zap.String("name", change.Name),
		zap.Uint64("version", change.Version), zap.Bool("delete", change.IsDelete()))
	a.writeChange(ctx, change, e.wait)
}
