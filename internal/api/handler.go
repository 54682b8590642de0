package api

import (
	"net/http"

	"github.com/kataras/iris/v12"

	"geraniumcroft/internal/outcome"
)

// Paths of the callers' API.
const (
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
	pathCalls       = "/v1/profiles/{profile}/calls"
	pathHealth      = "/healthz"
	pathReady       = "/readyz"
)

// handler holds the state that all requests share.
type handler struct {
	router  Router
	options Options
}

// NewHandler returns an http.Handler that serves the callers' API with r.
func NewHandler(r Router, o Options) http.Handler {
	h := &handler{router: r, options: o.withDefaults()}
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(
		iris.WithoutStartupLog,
		iris.WithoutBanner,
		iris.WithoutPathCorrection,
		// iris would append its own text to the problem bodies.
		iris.WithoutAutoFireStatusCode,
	)
	h.registerRoutes(app)
	if err := app.Build(); err != nil {
		panic("api: routes do not build: " + err.Error())
	}
	return app
}

func (h *handler) registerRoutes(app *iris.Application) {
	// Any registers all methods. iris keeps the later of two routes for the same
	// method and path, so the real handlers must follow.
	for _, path := range []string{pathChat, pathCompletions, pathCalls, pathHealth, pathReady} {
		app.Any(path, h.handle((*exchange).methodNotAllowed))
	}
	app.Post(pathChat, h.handle((*exchange).chat))
	app.Post(pathCompletions, h.handle((*exchange).completions))
	app.Post(pathCalls, h.handle((*exchange).call))
	app.Get(pathHealth, h.health)
	app.Get(pathReady, h.ready)
	app.Any("/{path:path}", h.handle((*exchange).notFound))
}

func (x *exchange) methodNotAllowed() {
	x.refuse(outcome.Refuse(outcome.ReasonMethodNotAllowed, "This path does not take the method "+x.r.Method+"."))
}

func (x *exchange) notFound() {
	x.refuse(outcome.Refuse(outcome.ReasonNotFound, "There is no such path; docs/api.md lists them."))
}

// health reports that the process is alive. It depends on no other component, so
// that it succeeds while all others hang.
func (h *handler) health(ctx iris.Context) {
	writeStatus(ctx.ResponseWriter(), http.StatusOK, "live")
}

// ready reports whether the balancer should send requests to this VM.
func (h *handler) ready(ctx iris.Context) {
	if h.router.Ready() {
		writeStatus(ctx.ResponseWriter(), http.StatusOK, "ready")
		return
	}
	writeStatus(ctx.ResponseWriter(), http.StatusServiceUnavailable, "not ready")
}

func writeStatus(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n"))
}
