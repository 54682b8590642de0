package adminapi

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/kataras/iris/v12"
	"go.uber.org/zap"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/confstore"
)

const maxIDLength = 128

func (a *API) put(kind config.EntityKind) iris.Handler {
	return func(ctx iris.Context) {
		revision, problem := precondition(ctx, true)
		if problem != nil {
			fail(ctx, problem)
			return
		}
		value, problem := a.readValue(ctx, kind, revision)
		if problem != nil {
			fail(ctx, problem)
			return
		}
		a.change(ctx, kind, value, revision)
	}
}

func (a *API) remove(kind config.EntityKind) iris.Handler {
	return func(ctx iris.Context) {
		revision, problem := precondition(ctx, false)
		if problem != nil {
			fail(ctx, problem)
			return
		}
		a.change(ctx, kind, nil, revision)
	}
}

func (a *API) readValue(ctx iris.Context, kind config.EntityKind, revision uint64) (json.RawMessage, *Problem) {
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
	case string(body) == "null":
		return nil, badRequest("The body is null; use DELETE to delete.")
	}
	if kind == config.EntityWorkspace {
		return a.keepKeyDigests(ctx, body, revision)
	}
	return body, nil
}

func (a *API) change(ctx iris.Context, kind config.EntityKind, value json.RawMessage, revision uint64) {
	wait, problem := waitOf(ctx)
	if problem != nil {
		fail(ctx, problem)
		return
	}
	id, problem := changeID(ctx)
	if problem != nil {
		fail(ctx, problem)
		return
	}
	request := ctx.Request().Context()
	change, err := a.options.Store.Propose(request, confstore.Proposal{
		ID:         id,
		Author:     authorOf(request),
		Kind:       kind,
		Name:       ctx.Params().Get("name"),
		Value:      value,
		IfRevision: revision,
	})
	if err != nil {
		a.failChange(ctx, err)
		return
	}
	a.options.Logger.Info("configuration changed",
		zap.String("author", change.Author), zap.String("kind", string(kind)), zap.String("name", change.Name),
		zap.Uint64("version", change.Version), zap.Bool("delete", change.IsDelete()))
	a.answerChange(ctx, change, wait)
}

// changeID is the caller's Idempotency-Key, so that a repeated request is not a
// second change.
func changeID(ctx iris.Context) (string, *Problem) {
	id := ctx.GetHeader("Idempotency-Key")
	if id == "" {
		return uuid.NewString(), nil
	}
	if len(id) > maxIDLength {
		return "", badRequest("Idempotency-Key has at most 128 characters.")
	}
	for _, r := range id {
		if r <= ' ' || r > '~' {
			return "", badRequest("Idempotency-Key has printable ASCII characters without spaces.")
		}
	}
	return id, nil
}
