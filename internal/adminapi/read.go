package adminapi

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/kataras/iris/v12"

	"geraniumcroft/internal/config"
)

func (a *API) list(kind config.EntityKind) iris.Handler {
	return func(ctx iris.Context) {
		snapshot := a.options.Store.Current()
		if unchanged(ctx, fmt.Sprintf(`"v%d"`, snapshot.Version)) {
			return
		}
		answer(ctx, http.StatusOK, listOf(snapshot, kind))
	}
}

func (a *API) read(kind config.EntityKind) iris.Handler {
	return func(ctx iris.Context) {
		name := ctx.Params().Get("name")
		entity, revision := a.options.Store.Current().Entity(kind, name)
		if entity == nil {
			fail(ctx, noEntity(kind, name))
			return
		}
		if unchanged(ctx, etag(revision)) {
			return
		}
		answer(ctx, http.StatusOK, viewOf(entity))
	}
}

func noEntity(kind config.EntityKind, name string) *Problem {
	return &Problem{
		Status: http.StatusNotFound,
		Code:   CodeNotFound,
		Title:  "Not found",
		Detail: fmt.Sprintf("There is no %s %q.", kind, name),
	}
}

// unchanged sets the ETag and answers 304 when the caller has that one already.
func unchanged(ctx iris.Context, tag string) bool {
	ctx.Header("ETag", tag)
	if ctx.GetHeader("If-None-Match") != tag {
		return false
	}
	ctx.ResponseWriter().WriteHeader(http.StatusNotModified)
	return true
}

func etag(revision uint64) string { return fmt.Sprintf(`"%d"`, revision) }

func answer(ctx iris.Context, status int, body any) {
	writer := ctx.ResponseWriter()
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}
