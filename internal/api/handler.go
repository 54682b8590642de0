package api

import (
	"net/http"

	"github.com/kataras/iris/v12"

	"geraniumcroft/internal/outcome"
)

// The paths of the callers' API.
const (
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
	pathCalls       = "/v1/profiles/{profile}/calls"
	pathHealth      = "/healthz"
	pathReady       = "/readyz"
)

// handler holds what all requests share.
type handler struct {
	router  Router
	options Options
}

// NewHandler returns the callers' API over r.
func NewHandler(r Router, o Options) http.Handler {
	h := &handler{router: r, options: o.withDefaults()}
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(
		iris.WithoutStartupLog,
		iris.WithoutBanner,
		iris.WithoutPathCorrection,
		// Problem bodies are written here; iris would add its own text to them.
		iris.WithoutAutoFireStatusCode,
	)
	h.route(app)
	if err := app.Build(); err != nil {
		panic("api: routes do not build: " + err.Error())
	}
	return app
}

func (h *handler) route(app *iris.Application) {
	// Of two routes for one method and path iris keeps the later.
	for _, path := range []string{pathChat, pathCompletions, pathCalls, pathHealth, pathReady} {
		app.Any(path, h.exchange((*exchange).methodNotAllowed))
	}
	app.Post(pathChat, h.exchange((*exchange).chat))
	app.Post(pathCompletions, h.exchange((*exchange).completions))
	app.Post(pathCalls, h.exchange((*exchange).call))
	app.Get(pathHealth, h.health)
	app.Get(pathReady, h.ready)
	app.Any("/{path:path}", h.exchange((*exchange).notFound))
}

func (x *exchange) methodNotAllowed() {
	x.refuse(outcome.Refuse(outcome.ReasonMethodNotAllowed, "This path does not take the method "+x.r.Method+"."))
}

func (x *exchange) notFound() {
	x.refuse(outcome.Refuse(outcome.ReasonNotFound, "There is no such path; docs/api.md lists them."))
}

// health says that the process answers. It asks nobody, so that it is true while
// everything else is stuck.
func (h *handler) health(ctx iris.Context) {
	writeState(ctx.ResponseWriter(), http.StatusOK, "live")
}

// ready says whether the balancer should send requests here.
func (h *handler) ready(ctx iris.Context) {
	if h.router.Ready() {
		writeState(ctx.ResponseWriter(), http.StatusOK, "ready")
		return
	}
	writeState(ctx.ResponseWriter(), http.StatusServiceUnavailable, "not ready")
}

func writeState(w http.ResponseWriter, status int, state string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(state + "\n"))
}
