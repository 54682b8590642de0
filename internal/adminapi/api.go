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
	// writeSlack is what an answer may take beyond the longest wait.
	writeSlack = 15 * time.Second
)

// API is the operators' API as an http.Handler.
type API struct {
	options Options
	app     *iris.Application
	dumper  *dumper
	// waits has a place for each request that waits for a change to be in force.
	waits chan struct{}
}

// New returns the API.
func New(o Options) (*API, error) {
	o = o.withDefaults()
	a := &API{options: o, app: iris.New(), dumper: newDumper(o.Dump, o.DumpTimeout)}
	a.waits = make(chan struct{}, maxWaits)
	a.app.Logger().SetLevel("disable")
	a.app.Configure(iris.WithoutPathCorrection, iris.WithoutStartupLog)
	a.routes()
	if err := a.app.Build(); err != nil {
		return nil, errors.Wrap(err, "build the admin API")
	}
	return a, nil
}

// Server returns a server for the API with bounds on every wait and size.
func (a *API) Server() *http.Server {
	return &http.Server{
		Handler:           a,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      MaxWait + writeSlack,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    MaxHeaderBytes,
		ErrorLog:          a.errorLog(),
	}
}

// errorLog takes what net/http has to say, such as failed handshakes.
func (a *API) errorLog() *log.Logger {
	errorLog, err := zap.NewStdLogAt(a.options.Logger, zap.WarnLevel)
	if err != nil {
		return nil // only for an unknown level
	}
	return errorLog
}

// ServeHTTP implements http.Handler. Unknown paths need a token as well, so that
// nobody without one learns what there is.
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

func (a *API) routes() {
	admin := a.app.Party("/admin/v1")
	for collection, kind := range collections {
		a.entityRoutes(admin.Party("/"+collection), kind)
	}
	admin.Post("/targets/{name}/drain", a.setState(config.StateDraining))
	admin.Post("/targets/{name}/undrain", a.setState(config.StateActive))
	admin.Get("/changes", a.listChanges)
	admin.Get("/changes/{version}", a.showChange)
	admin.Get("/vms", a.show(a.options.VMs))
	admin.Get("/leases", a.show(a.options.Leases))
	admin.Get("/dump", a.dump)
	admin.Get("/version", a.version)
	a.app.OnErrorCode(http.StatusNotFound, a.noRoute)
	a.app.OnErrorCode(http.StatusMethodNotAllowed, a.noRoute)
}

func (a *API) entityRoutes(party iris.Party, kind config.EntityKind) {
	party.Get("/", a.list(kind))
	party.Get("/{name}", a.read(kind))
	party.Put("/{name}", a.put(kind))
	party.Delete("/{name}", a.remove(kind))
}

func (a *API) noRoute(ctx iris.Context) {
	fail(ctx, &Problem{
		Status: http.StatusNotFound,
		Code:   CodeNotFound,
		Title:  "No such path or method",
		Detail: ctx.Method() + " " + ctx.Path() + " is not a part of the admin API.",
	})
}
