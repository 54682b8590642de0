package adminapi

import (
	"net/http"

	"github.com/kataras/iris/v12"
)

func (a *API) show(state func() any) iris.Handler {
	return func(ctx iris.Context) { answer(ctx, http.StatusOK, state()) }
}

func (a *API) version(ctx iris.Context) {
	answer(ctx, http.StatusOK, VersionResponse{
		Program:       a.options.Version,
		Configuration: a.options.Store.Current().Version,
	})
}
