package api

import (
	"net/http"

	"geraniumcroft/internal/outcome"
	"geraniumcroft/internal/router"
)

// call passes a request on to a plain service and its answer back.
func (x *exchange) call() {
	request, failure := x.callRequest()
	if failure != nil {
		x.refuse(failure)
		return
	}
	result, err := x.router.Call(x.r.Context(), request)
	if err != nil {
		x.fail(failureOf(err))
		return
	}
	x.answerCall(result)
}

func (x *exchange) callRequest() (router.CallRequest, *outcome.Failure) {
	id, failure := x.identity()
	if failure != nil {
		return router.CallRequest{}, failure
	}
	if failure := x.setProfile(&id, x.param("profile")); failure != nil {
		return router.CallRequest{}, failure
	}
	body, failure := x.readBody(&id)
	if failure != nil {
		return router.CallRequest{}, failure
	}
	return router.CallRequest{Metadata: id, Body: body, ContentType: x.r.Header.Get("Content-Type")}, nil
}

func (x *exchange) answerCall(result router.CallResult) {
	if result.Status < http.StatusOK || result.Status > 599 {
		x.fail(outcome.Uncertain(outcome.ReasonTargetFailed, "The service answered with a status that cannot be passed on."))
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
	x.answer(result.Status, contentType, outcome.Complete, result.Body)
}
