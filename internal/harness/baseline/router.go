package baseline

import (
	"net/http"
	"sync/atomic"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/service"
)

// Options configures a Router.
type Options struct {
	// Source provides the profiles and the targets.
	Source   config.Source
	Engines  engine.Client
	Services service.Client
}

// Router is the baseline router. It implements http.Handler.
type Router struct {
	Options
	mux   *http.ServeMux
	turn  atomic.Uint64 // round-robin counter
	ids   atomic.Uint64 // request IDs given out
	slots *slots
}

// New returns a router that uses o.
func New(o Options) *Router {
	r := &Router{Options: o, mux: http.NewServeMux(), slots: newSlots()}
	r.mux.HandleFunc("POST /v1/chat/completions", r.serveGeneration)
	r.mux.HandleFunc("POST /v1/profiles/{profile}/calls", r.serveCall)
	return r
}

// ServeHTTP implements http.Handler.
func (r *Router) ServeHTTP(w http.ResponseWriter, request *http.Request) { r.mux.ServeHTTP(w, request) }
