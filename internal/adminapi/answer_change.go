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

// acceptance waits for a version to be in force. Waiting costs a goroutine and a
// look at every VM each 100 ms, so a few careless scripts must not add up.
func (a *API) acceptance(ctx iris.Context, version uint64, wait time.Duration) confstore.Acceptance {
	select {
	case a.waits <- struct{}{}:
		defer func() { <-a.waits }()
	default:
		wait = 0
	}
	bounded, cancel := context.WithTimeout(ctx.Request().Context(), wait)
	defer cancel()
	return a.options.Store.Wait(bounded, version, a.options.Confirmer)
}

func (a *API) answerChange(ctx iris.Context, change config.Change, wait time.Duration) {
	body := changeAnswer(a.acceptance(ctx, change.Version, wait))
	body.ID = change.ID
	if !change.IsDelete() {
		ctx.Header("ETag", etag(change.Version))
	}
	answer(ctx, body.httpStatus(), body)
}

func changeAnswer(acceptance confstore.Acceptance) ChangeResponse {
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

func (b ChangeResponse) httpStatus() int {
	if b.Status == StatusAccepted {
		return http.StatusOK
	}
	return http.StatusAccepted
}

// failChange maps every error of a proposal to its answer, in this one place.
func (a *API) failChange(ctx iris.Context, err error) {
	var invalid *config.ValidationError
	var conflict *confstore.ConflictError
	var reused *confstore.IDReusedError
	var pending *confstore.PendingError
	var notWritten *confstore.NotWrittenError
	switch {
	case errors.As(err, &invalid):
		fail(ctx, &Problem{
			Status: http.StatusUnprocessableEntity, Code: CodeInvalid, Title: "Not valid",
			Detail: invalid.Error(), Findings: invalid.Findings,
		})
	case errors.As(err, &conflict):
		fail(ctx, conflictProblem(conflict))
	case errors.As(err, &reused):
		fail(ctx, &Problem{
			Status: http.StatusConflict, Code: CodeIDReused, Title: "Idempotency-Key was used for another change",
			Detail: reused.Error(), ID: reused.ID,
		})
	case errors.As(err, &pending):
		answer(ctx, http.StatusAccepted, ChangeResponse{
			Status: StatusPending, ID: pending.ID, Version: pending.Version,
			Detail: "The table's answer was lost: the change may take effect. Look it up by its id before you repeat it.",
		})
	case errors.As(err, &notWritten):
		a.options.Logger.Warn("configuration change not written", zap.Error(err))
		fail(ctx, &Problem{
			Status: http.StatusServiceUnavailable, Code: CodeUnavailable, Title: "Nothing was written",
			Detail: "The change was not written and will not be. Repeat it later.", ID: notWritten.ID,
		})
	default:
		a.failInternal(ctx, err)
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

func (a *API) failInternal(ctx iris.Context, err error) {
	a.options.Logger.Error("admin request failed", zap.Error(err))
	fail(ctx, &Problem{
		Status: http.StatusInternalServerError, Code: CodeInternal, Title: "Internal error",
		Detail: "The log of this VM tells more.",
	})
}
