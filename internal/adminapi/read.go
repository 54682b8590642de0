package adminapi

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/kataras/iris/v12"

	"geraniumcroft/internal/config"
)

// list returns the handler that lists all entities of a kind.
func (a *API) list(kind config.EntityKind) iris.Handler {
	return func(ctx iris.Context) {
		snapshot := a.options.Store.Current()
		if notModified(ctx, fmt.Sprintf(`"v%d"`, snapshot.Version)) {
			return
		}
		writeJSON(ctx, http.StatusOK, newListResponse(snapshot, kind))
	}
}

// get returns the handler that reads one entity.
func (a *API) get(kind config.EntityKind) iris.Handler {
	return func(ctx iris.Context) {
		name := ctx.Params().Get("name")
		entity, revision := a.options.Store.Current().Entity(kind, name)
		if entity == nil {
			writeProblem(ctx, entityNotFound(kind, name))
			return
		}
		if notModified(ctx, etag(revision)) {
			return
		}
		writeJSON(ctx, http.StatusOK, viewOf(entity))
	}
}

func entityNotFound(kind config.EntityKind, name string) *Problem {
	return &Problem{
		Status: http.StatusNotFound,
		Code:   CodeNotFound,
		Title:  "Not found",
		Detail: fmt.Sprintf("There is no %s %q.", kind, name),
	}
}

// notModified sets the ETag. It answers 304 and returns true if the caller already
// has that ETag.
func notModified(ctx iris.Context, tag string) bool {
	ctx.Header("ETag", tag)
	if ctx.GetHeader("If-None-Match") != tag {
		return false
	}
	ctx.ResponseWriter().WriteHeader(http.StatusNotModified)
	return true
}

func etag(revision uint64) string { return fmt.Sprintf(`"%d"`, revision) }

func writeJSON(ctx iris.Context, status int, body any) {
	writer := ctx.ResponseWriter()
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}
