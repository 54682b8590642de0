package adminapi

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"
	"go.uber.org/zap"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/confstore"
)

// waitForAcceptance waits up to wait for a version to be in force. Each wait takes a
// goroutine and checks every VM each 100 ms, so the number of concurrent waits is
// limited: without a free slot it returns the present state at once.
func (a *API) waitForAcceptance(ctx iris.Context, version uint64, wait time.Duration) confstore.Acceptance {
	select {
	case a.waitSlots <- struct{}{}:
		defer func() { <-a.waitSlots }()
	default:
		wait = 0
	}
	waitCtx, cancel := context.WithTimeout(ctx.Request().Context(), wait)
	defer cancel()
	return a.options.Store.Wait(waitCtx, version, a.options.Confirmer)
}

// writeChange answers with the state of a committed change, after up to wait.
func (a *API) writeChange(ctx iris.Context, change config.Change, wait time.Duration) {
	body := newChangeResponse(a.waitForAcceptance(ctx, change.Version, wait))
	body.ID = change.ID
	if !change.IsDelete() {
		ctx.Header("ETag", etag(change.Version))
	}
	writeJSON(ctx, body.httpStatus(), body)
}

func newChangeResponse(acceptance confstore.Acceptance) ChangeResponse {
	body := ChangeResponse{
		Status:    StatusPending,
		Version:   acceptance.Version,
		Committed: true,
		Confirmed: acceptance.Confirmed,
		Missing:   acceptance.Missing,
	}
	if acceptance.Accepted {
		body.Status = StatusAccepted
	}
	return body
}

// httpStatus returns 200 for an accepted change and 202 for a pending one.
func (b ChangeResponse) httpStatus() int {
	if b.Status == StatusAccepted {
		return http.StatusOK
	}
	return http.StatusAccepted
}

// writeChangeError answers with the response for an error of Store.Propose. It is
// the only place that maps these errors to responses.
func (a *API) writeChangeError(ctx iris.Context, err error) {
	var invalid *config.ValidationError
	var conflict *confstore.ConflictError
	var reused *confstore.IDReusedError
	var pending *confstore.PendingError
	var notWritten *confstore.NotWrittenError
	switch {
	case errors.As(err, &invalid):
		writeProblem(ctx, &Problem{
			Status: http.StatusUnprocessableEntity, Code: CodeInvalid, Title: "Not valid",
			Detail: invalid.Error(), Findings: invalid.Findings,
		})
	case errors.As(err, &conflict):
		writeProblem(ctx, conflictProblem(conflict))
	case errors.As(err, &reused):
		writeProblem(ctx, &Problem{
			Status: http.StatusConflict, Code: CodeIDReused, Title: "Idempotency-Key was used for another change",
			Detail: reused.Error(), ID: reused.ID,
		})
	case errors.As(err, &pending):
		writeJSON(ctx, http.StatusAccepted, ChangeResponse{
			Status: StatusPending, ID: pending.ID, Version: pending.Version,
			Detail: "The table's answer was lost: the change may take effect. Look it up by its id before you repeat it.",
		})
	case errors.As(err, &notWritten):
		a.options.Logger.Warn("configuration change not written", zap.Error(err))
		writeProblem(ctx, &Problem{
			Status: http.StatusServiceUnavailable, Code: CodeUnavailable, Title: "Nothing was written",
			Detail: "The change was not written and will not be. Repeat it later.", ID: notWritten.ID,
		})
	default:
		a.writeInternalError(ctx, err)
	}
}

func conflictProblem(conflict *confstore.ConflictError) *Problem {
	return &Problem{
		Status:   http.StatusPreconditionFailed,
		Code:     CodeConflict,
		Title:    "Changed by someone else",
		Detail:   conflict.Error() + ". Nothing was written.",
		Current:  viewOfJSON(conflict.Kind, conflict.Current),
		Revision: conflict.Revision,
	}
}

// writeInternalError logs err and answers without it.
func (a *API) writeInternalError(ctx iris.Context, err error) {
	a.options.Logger.Error("admin request failed", zap.Error(err))
	writeProblem(ctx, &Problem{
		Status: http.StatusInternalServerError, Code: CodeInternal, Title: "Internal error",
		Detail: "The log of this VM tells more.",
	})
}
