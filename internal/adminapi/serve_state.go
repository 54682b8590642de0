package adminapi

import (
	"net/http"

	"github.com/kataras/iris/v12"
)

// serveState returns the handler that sends what state returns.
func (a *API) serveState(state func() any) iris.Handler {
	return func(ctx iris.Context) { writeJSON(ctx, http.StatusOK, state()) }
}

func (a *API) serveVersion(ctx iris.Context) {
	writeJSON(ctx, http.StatusOK, VersionResponse{
		Program:       a.options.Version,
		Configuration: a.options.Store.Current().Version,
	})
}
