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
	maxAttempts     = 2
	maxBody         = 8 << 20
	callTimeout     = 5 * time.Second
	headerOutcome   = "Geraniumcroft-Outcome"
	headerRequestID = "Geraniumcroft-Request-Id"
	outcomeComplete = "complete"
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
	response, err := r.callWithRetry(ctx, snapshot, profile.Service, call)
	if err != nil {
		w.Header().Set(headerOutcome, outcomeUnknown)
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	w.Header().Set(headerOutcome, outcomeComplete)
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body) // the caller notices a failed write
}

// callWithRetry retries a failed call once, on the next instance. It does so whether or
// not the call may be repeated.
func (r *Router) callWithRetry(ctx context.Context, snapshot *config.Snapshot, name string, call service.Call) (service.Response, error) {
	var lastErr error
	for range maxAttempts {
		response, err := r.callInstance(ctx, r.instance(snapshot, name), call)
		if err == nil {
			return response, nil
		}
		lastErr = err
	}
	return service.Response{}, lastErr
}

// callInstance sends a call to one instance. A status of 500 or above is an error.
func (r *Router) callInstance(ctx context.Context, instance *config.Target, call service.Call) (service.Response, error) {
	if instance == nil {
		return service.Response{}, errNoTarget
	}
	release, err := r.slots.acquire(ctx, []*config.Target{instance})
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
