package adminapi

import (
	"log"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"
	"go.uber.org/zap"

	"geraniumcroft/internal/config"
)

const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 15 * time.Second
	idleTimeout       = time.Minute
	// writeMargin is the time to write a response after the longest wait.
	writeMargin = 15 * time.Second
)

// API is an http.Handler that serves the operators' API.
type API struct {
	options Options
	app     *iris.Application
	dumper  *dumper
	// waitSlots holds an element for each request that is waiting for a change to be
	// in force.
	waitSlots chan struct{}
}

// New returns an API. It fails if the routes can't be built.
func New(o Options) (*API, error) {
	o = o.withDefaults()
	a := &API{options: o, app: iris.New(), dumper: newDumper(o.Dump, o.DumpTimeout)}
	a.waitSlots = make(chan struct{}, maxConcurrentWaits)
	a.app.Logger().SetLevel("disable")
	a.app.Configure(iris.WithoutPathCorrection, iris.WithoutStartupLog)
	a.registerRoutes()
	if err := a.app.Build(); err != nil {
		return nil, errors.Wrap(err, "build the admin API")
	}
	return a, nil
}

// Server returns an http.Server for the API with timeouts and size limits.
func (a *API) Server() *http.Server {
	return &http.Server{
		Handler:           a,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      MaxWait + writeMargin,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    MaxHeaderBytes,
		ErrorLog:          a.errorLog(),
	}
}

// errorLog returns the logger for net/http's errors, such as failed TLS handshakes.
func (a *API) errorLog() *log.Logger {
	errorLog, err := zap.NewStdLogAt(a.options.Logger, zap.WarnLevel)
	if err != nil {
		return nil // the level is a constant, so this can't happen
	}
	return errorLog
}

// ServeHTTP implements http.Handler. Unknown paths require a token as well, so that
// a client without one can't find out which paths exist.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Cache-Control", "no-store")
	request, problem := a.authenticate(r)
	if problem != nil {
		problem.write(w)
		return
	}
	request.Body = http.MaxBytesReader(w, request.Body, MaxBodyBytes)
	a.app.ServeHTTP(w, request)
}

func (a *API) registerRoutes() {
	admin := a.app.Party("/admin/v1")
	for collection, kind := range collections {
		a.registerEntityRoutes(admin.Party("/"+collection), kind)
	}
	admin.Post("/targets/{name}/drain", a.setState(config.StateDraining))
	admin.Post("/targets/{name}/undrain", a.setState(config.StateActive))
	admin.Get("/changes", a.listChanges)
	admin.Get("/changes/{version}", a.showChange)
	admin.Get("/vms", a.serveState(a.options.VMs))
	admin.Get("/leases", a.serveState(a.options.Leases))
	admin.Get("/dump", a.serveDump)
	admin.Get("/version", a.serveVersion)
	a.app.OnErrorCode(http.StatusNotFound, a.routeNotFound)
	a.app.OnErrorCode(http.StatusMethodNotAllowed, a.routeNotFound)
}

func (a *API) registerEntityRoutes(party iris.Party, kind config.EntityKind) {
	party.Get("/", a.list(kind))
	party.Get("/{name}", a.get(kind))
	party.Put("/{name}", a.put(kind))
	party.Delete("/{name}", a.remove(kind))
}

func (a *API) routeNotFound(ctx iris.Context) {
	writeProblem(ctx, &Problem{
		Status: http.StatusNotFound,
		Code:   CodeNotFound,
		Title:  "No such path or method",
		Detail: ctx.Method() + " " + ctx.Path() + " is not a part of the admin API.",
	})
}
