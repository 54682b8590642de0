package api

import (
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"time"

	"geraniumcroft/internal/outcome"
	"geraniumcroft/internal/router"
)

// readBody reads the request body and records its size and digest in meta. A body
// that exceeds MaxBodyBytes or is incomplete ReadTimeout after the request arrived
// is a failure, and the connection is closed.
func (x *exchange) readBody(meta *router.Metadata) ([]byte, *outcome.Failure) {
	if x.r.ContentLength > x.options.MaxBodyBytes {
		x.w.Header().Set("Connection", "close")
		return nil, bodyTooLarge()
	}
	_ = x.control.SetReadDeadline(x.arrival.Add(x.options.ReadTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, x.options.MaxBodyBytes))
	if failure := readFailure(err); failure != nil {
		x.w.Header().Set("Connection", "close")
		return nil, failure
	}
	// net/http keeps reading in the background to detect a disconnect. With the
	// deadline left in place, every request would look disconnected once it passes.
	_ = x.control.SetReadDeadline(time.Time{})
	meta.BodyBytes = int64(len(body))
	meta.Digest = sha256.Sum256(body)
	return body, nil
}

// readFailure returns the failure for an error of reading the body, or nil.
func readFailure(err error) *outcome.Failure {
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLarge):
		return bodyTooLarge()
	default:
		return badRequest("The body could not be read whole in time.").WithCause(err)
	}
}

func bodyTooLarge() *outcome.Failure {
	return outcome.Refuse(outcome.ReasonTooLarge, "The body is too large.")
}
