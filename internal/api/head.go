package api

import (
	"strings"
	"time"

	"geraniumcroft/internal/listener"
	"geraniumcroft/internal/outcome"
	"geraniumcroft/internal/router"
	"geraniumcroft/internal/secret"
)

const (
	maxBearerBytes  = 1024
	maxProfileBytes = 128
	maxDeadline     = 24 * time.Hour
	// perHeaderBytes is what a header line costs besides its name and value.
	perHeaderBytes = 4
)

// checkConnection refuses the requests of a connection above the limit.
func (x *exchange) checkConnection() *outcome.Failure {
	if !listener.AboveLimit(x.r.Context()) {
		return nil
	}
	x.w.Header().Set("Connection", "close")
	return outcome.Refuse(outcome.ReasonOverloaded, "Too many connections are open.").WithRetryAfter(time.Second)
}

// checkHead refuses a head that is too long. The server's own bound, which closes
// the connection without a problem body, is far above this one.
func (x *exchange) checkHead() *outcome.Failure {
	size := len(x.r.RequestURI)
	for name, values := range x.r.Header {
		for _, value := range values {
			size += len(name) + len(value) + perHeaderBytes
		}
	}
	if size > x.options.MaxHeaderBytes {
		return outcome.Refuse(outcome.ReasonHeadersTooLarge, "The request's headers are too long.")
	}
	return nil
}

// identity reads what the headers say of the request.
func (x *exchange) identity() (router.Metadata, *outcome.Failure) {
	id := router.Metadata{RequestID: x.id, Arrival: x.arrival}
	var problem string
	if id.IdempotencyKey, problem = parseKey(x.r.Header[HeaderIdempotencyKey], x.options.MaxKeyBytes); problem != "" {
		return id, badRequest(problem)
	}
	if id.CallerTimeout, problem = parseDeadline(x.r.Header[HeaderDeadline]); problem != "" {
		return id, badRequest(problem)
	}
	bearer, problem := parseBearer(x.r.Header["Authorization"])
	if problem != "" {
		return id, badRequest(problem)
	}
	id.BearerKey = secret.New(bearer)
	return id, nil
}

// parseKey returns the idempotency key, and what is wrong with it. Visible ASCII
// alone keeps one key from having two spellings.
func parseKey(values []string, maxBytes int) (key, problem string) {
	if len(values) == 0 {
		return "", ""
	}
	if len(values) > 1 {
		return "", "Idempotency-Key is given more than once."
	}
	key = values[0]
	switch {
	case key == "":
		return "", "Idempotency-Key is empty."
	case len(key) > maxBytes:
		return "", "Idempotency-Key is too long."
	case strings.ContainsFunc(key, func(r rune) bool { return r < '!' || r > '~' }):
		return "", "Idempotency-Key holds something else than visible ASCII characters."
	}
	return key, ""
}

// parseDeadline returns the caller's own deadline, and what is wrong with it.
func parseDeadline(values []string) (deadline time.Duration, problem string) {
	if len(values) == 0 {
		return 0, ""
	}
	if len(values) > 1 {
		return 0, HeaderDeadline + " is given more than once."
	}
	deadline, err := time.ParseDuration(values[0])
	if err != nil || deadline <= 0 || deadline > maxDeadline {
		return 0, HeaderDeadline + " is not a duration above zero and up to 24h, such as 1500ms."
	}
	return deadline, ""
}

// parseBearer returns the bearer key, and what is wrong with it. Other schemes are
// not keys; the router refuses where one is needed.
func parseBearer(values []string) (key, problem string) {
	if len(values) == 0 {
		return "", ""
	}
	scheme, key, _ := strings.Cut(values[0], " ")
	switch {
	case len(values) > 1:
		return "", "Authorization is given more than once."
	case !strings.EqualFold(scheme, "Bearer"):
		return "", ""
	case len(key) > maxBearerBytes:
		return "", "The bearer key is too long."
	}
	return strings.TrimSpace(key), ""
}

func (x *exchange) setProfile(id *router.Metadata, name string) *outcome.Failure {
	switch {
	case name == "":
		return badRequest("No profile is named.")
	case len(name) > maxProfileBytes:
		return badRequest("The profile's name is too long.")
	}
	id.Profile = name
	x.profile = name
	return nil
}

func badRequest(detail string) *outcome.Failure {
	return outcome.Refuse(outcome.ReasonBadRequest, detail)
}
