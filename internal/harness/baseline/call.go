package baseline

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/service"
)

const (
	attempts        = 2
	maxBody         = 8 << 20
	callTimeout     = 5 * time.Second
	headerOutcome   = "Geraniumcroft-Outcome"
	headerRequestID = "Geraniumcroft-Request-Id"
	outcomeWhole    = "complete"
	outcomeUnknown  = "unknown"
)

var errNoTarget = errors.New("no target")

func (r *Router) serveCall(w http.ResponseWriter, request *http.Request) {
	snapshot := r.Source.Current()
	profile := snapshot.Profiles[request.PathValue("profile")]
	body, err := io.ReadAll(io.LimitReader(request.Body, maxBody))
	if profile == nil || err != nil {
		http.Error(w, "no such profile, or no readable body", http.StatusNotFound)
		return
	}
	call := service.Call{RequestID: fmt.Sprintf("baseline-%d", r.ids.Add(1)), Path: profile.Path, Body: body, ContentType: "application/json"}
	ctx, cancel := context.WithTimeout(request.Context(), time.Duration(profile.Deadline))
	defer cancel()
	response, err := r.callTwice(ctx, snapshot, profile.Service, call)
	if err != nil {
		w.Header().Set(headerOutcome, outcomeUnknown)
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	w.Header().Set(headerOutcome, outcomeWhole)
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body) // the caller's loss shows on its side
}

// callTwice repeats a failed call on the next instance, whether or not it may be.
func (r *Router) callTwice(ctx context.Context, snapshot *config.Snapshot, name string, call service.Call) (service.Response, error) {
	var failed error
	for range attempts {
		response, err := r.callOnce(ctx, r.instance(snapshot, name), call)
		if err == nil {
			return response, nil
		}
		failed = err
	}
	return service.Response{}, failed
}

func (r *Router) callOnce(ctx context.Context, instance *config.Target, call service.Call) (service.Response, error) {
	if instance == nil {
		return service.Response{}, errNoTarget
	}
	release, err := r.slots.take(ctx, []*config.Target{instance})
	if err != nil {
		return service.Response{}, err
	}
	defer release()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := r.Services.Connect(ctx, instance.Address, false)
	if err != nil {
		return service.Response{}, err
	}
	response, err := conn.Do(ctx, call)
	if err == nil && response.Status >= http.StatusInternalServerError {
		err = fmt.Errorf("%s answered %d", instance.Name, response.Status)
	}
	return response, err
}
