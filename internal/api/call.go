package api

import (
	"net/http"

	"geraniumcroft/internal/outcome"
	"geraniumcroft/internal/router"
)

// call forwards a request to a plain service and returns the service's response.
func (x *exchange) call() {
	request, failure := x.readCall()
	if failure != nil {
		x.refuse(failure)
		return
	}
	result, err := x.router.Call(x.r.Context(), request)
	if err != nil {
		x.writeProblem(toFailure(err))
		return
	}
	x.writeCallResult(result)
}

// readCall reads and checks the request for a call.
func (x *exchange) readCall() (router.CallRequest, *outcome.Failure) {
	meta, failure := x.metadata()
	if failure != nil {
		return router.CallRequest{}, failure
	}
	if failure := x.setProfile(&meta, x.pathParam("profile")); failure != nil {
		return router.CallRequest{}, failure
	}
	body, failure := x.readBody(&meta)
	if failure != nil {
		return router.CallRequest{}, failure
	}
	return router.CallRequest{Metadata: meta, Body: body, ContentType: x.r.Header.Get("Content-Type")}, nil
}

// writeCallResult sends the service's response. If its status is not a valid final
// status, the outcome is unknown, since the service may have executed the call.
func (x *exchange) writeCallResult(result router.CallResult) {
	if result.Status < http.StatusOK || result.Status > 599 {
		x.writeProblem(outcome.Uncertain(outcome.ReasonTargetFailed, "The service answered with a status that cannot be passed on."))
		return
	}
	if result.Replayed {
		x.w.Header().Set(HeaderReplayed, "true")
	}
	contentType := result.ContentType
	if contentType == "" {
		contentType = "application/octet-stream"
	}
	x.w.Header().Set("X-Content-Type-Options", "nosniff")
	x.writeResponse(result.Status, contentType, outcome.Complete, result.Body)
}
