package baseline

import (
	"net/http"
	"sync/atomic"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/service"
)

// Options are what a Router is made from.
type Options struct {
	// Source gives profiles and targets.
	Source   config.Source
	Engines  engine.Client
	Services service.Client
}

// Router implements http.Handler.
type Router struct {
	Options
	mux   *http.ServeMux
	turn  atomic.Uint64
	ids   atomic.Uint64
	slots *slots
}

// New returns a router.
func New(o Options) *Router {
	r := &Router{Options: o, mux: http.NewServeMux(), slots: newSlots()}
	r.mux.HandleFunc("POST /v1/chat/completions", r.serveDraft)
	r.mux.HandleFunc("POST /v1/profiles/{profile}/calls", r.serveCall)
	return r
}

// ServeHTTP implements http.Handler.
func (r *Router) ServeHTTP(w http.ResponseWriter, request *http.Request) { r.mux.ServeHTTP(w, request) }
