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
	// headerOverheadBytes is the size of a header line without its name and value:
	// colon, space, CR and LF.
	headerOverheadBytes = 4
)

// checkConnectionLimit refuses requests on connections above MaxConnections.
func (x *exchange) checkConnectionLimit() *outcome.Failure {
	if !listener.AboveLimit(x.r.Context()) {
		return nil
	}
	x.w.Header().Set("Connection", "close")
	return outcome.Refuse(outcome.ReasonOverloaded, "Too many connections are open.").WithRetryAfter(time.Second)
}

// checkHeadSize refuses a request whose URI and headers exceed MaxHeaderBytes. The
// limit of http.Server, above which the connection is closed without a problem
// body, is serverHeadLimitFactor times as high.
func (x *exchange) checkHeadSize() *outcome.Failure {
	size := len(x.r.RequestURI)
	for name, values := range x.r.Header {
		for _, value := range values {
			size += len(name) + len(value) + headerOverheadBytes
		}
	}
	if size > x.options.MaxHeaderBytes {
		return outcome.Refuse(outcome.ReasonHeadersTooLarge, "The request's headers are too long.")
	}
	return nil
}

// metadata reads the idempotency key, the deadline and the bearer key from the
// headers.
func (x *exchange) metadata() (router.Metadata, *outcome.Failure) {
	meta := router.Metadata{RequestID: x.requestID, Arrival: x.arrival}
	var problem string
	if meta.IdempotencyKey, problem = parseIdempotencyKey(x.r.Header[HeaderIdempotencyKey], x.options.MaxKeyBytes); problem != "" {
		return meta, badRequest(problem)
	}
	if meta.CallerTimeout, problem = parseDeadline(x.r.Header[HeaderDeadline]); problem != "" {
		return meta, badRequest(problem)
	}
	bearer, problem := parseBearer(x.r.Header["Authorization"])
	if problem != "" {
		return meta, badRequest(problem)
	}
	meta.BearerKey = secret.New(bearer)
	return meta, nil
}

// parseIdempotencyKey returns the key, which is empty if there is no header, and
// what is wrong with it, or "". Only visible ASCII is allowed, so that a key has a
// single encoding.
func parseIdempotencyKey(values []string, maxBytes int) (key, problem string) {
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

// parseDeadline returns the time limit that the caller sets, 0 if there is no
// header, and what is wrong with it, or "".
func parseDeadline(values []string) (timeout time.Duration, problem string) {
	if len(values) == 0 {
		return 0, ""
	}
	if len(values) > 1 {
		return 0, HeaderDeadline + " is given more than once."
	}
	timeout, err := time.ParseDuration(values[0])
	if err != nil || timeout <= 0 || timeout > maxDeadline {
		return 0, HeaderDeadline + " is not a duration above zero and up to 24h, such as 1500ms."
	}
	return timeout, ""
}

// parseBearer returns the bearer key, and what is wrong with it, or "". A header of
// another scheme counts as no key; the router refuses the request if the profile
// needs one.
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

// setProfile checks the length of the profile's name and stores it in meta and x.
func (x *exchange) setProfile(meta *router.Metadata, name string) *outcome.Failure {
	switch {
	case name == "":
		return badRequest("No profile is named.")
	case len(name) > maxProfileBytes:
		return badRequest("The profile's name is too long.")
	}
	meta.Profile = name
	x.profile = name
	return nil
}

func badRequest(detail string) *outcome.Failure {
	return outcome.Refuse(outcome.ReasonBadRequest, detail)
}
