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

// readBody reads the whole body within the bounds of size and time, and notes its
// size and digest.
func (x *exchange) readBody(id *router.Metadata) ([]byte, *outcome.Failure) {
	if x.r.ContentLength > x.options.MaxBodyBytes {
		x.w.Header().Set("Connection", "close")
		return nil, bodyTooLarge()
	}
	_ = x.control.SetReadDeadline(x.arrival.Add(x.options.ReadTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, x.options.MaxBodyBytes))
	if failure := bodyFailure(err); failure != nil {
		x.w.Header().Set("Connection", "close")
		return nil, failure
	}
	// The server goes on reading, to notice that the caller has gone: with the
	// deadline left in place every request would look abandoned once it passes.
	_ = x.control.SetReadDeadline(time.Time{})
	id.BodyBytes = int64(len(body))
	id.Digest = sha256.Sum256(body)
	return body, nil
}

func bodyFailure(err error) *outcome.Failure {
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
