package relay

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/outcome"
)

// maxRetryShare is how much of the time that a caller has left it may be told to wait;
// callers pass over anything longer.
const maxRetryShare = 3

// finish gives the request its one outcome in log and metrics.
func (h *Handler) finish(q *request, failure *outcome.Failure) {
	ended, reason := outcome.Complete, outcome.Reason("")
	if failure != nil {
		ended, reason = failure.Outcome, failure.Reason
	}
	if q.boundary != nil {
		q.boundary.Close()
		truthful := ended != outcome.NotRun || !q.boundary.MayHaveRun()
		h.Invariants.Check(truthful, invariant.NoDispatchAfterOutcome, "request %s was sent and told as not run", q.RequestID)
	}
	took := time.Since(q.arrival)
	urgency := config.Normal
	if q.profile != nil {
		urgency = q.urgency()
	}
	h.Observer.RequestEnded(ended, reason, urgency, q.workspace, took)
	h.log(q, failure, took)
}

func (h *Handler) log(q *request, failure *outcome.Failure, took time.Duration) {
	fields := []zap.Field{zap.String("requestId", q.RequestID), zap.Duration("took", took), zap.Int("runs", q.runs)}
	if q.config != nil {
		fields = append(fields, zap.Uint64("configVersion", q.config.Version), zap.Duration("configAge", h.ConfigSource.ConfigAge()))
	}
	if q.profile != nil {
		fields = append(fields, zap.String("profile", q.profile.Name), zap.String("workspace", q.workspace),
			zap.Duration("objective", q.profile.Objective), zap.Duration("gap", q.profile.Gap))
	}
	if q.boundary != nil {
		fields = append(fields, zap.Stringer("digest", q.digest))
	}
	fields = append(fields, q.progress.fields()...)
	if failure == nil {
		h.Logger.Info("request complete", fields...)
		return
	}
	q.story.write(h.Logger)
	fields = append(fields, zap.Stringer("outcome", failure.Outcome), zap.String("reason", string(failure.Reason)),
		zap.String("detail", failure.Detail), zap.Duration("retryAfter", failure.RetryAfter), zap.NamedError("cause", failure.Cause))
	h.Logger.Warn("request failed", fields...)
}

// refuse answers a request that got no answer of a replica.
func (h *Handler) refuse(w http.ResponseWriter, q *request, failure *outcome.Failure) {
	status := statusOf(failure)
	header := w.Header()
	retryAfter := failure.RetryAfter
	if q.Inbound.CallerTimeout > 0 {
		retryAfter = min(retryAfter, (q.Inbound.CallerTimeout-time.Since(q.arrival))/maxRetryShare)
	}
	h.Codec.EncodeRefusal(header, q.RequestID, max(0, retryAfter))
	header.Set("Content-Type", "application/problem+json")
	body, err := json.Marshal(problem{Title: http.StatusText(status), Status: status, Detail: failure.Detail, Outcome: failure.Outcome.String(), Reason: string(failure.Reason)})
	if err != nil {
		h.Logger.Error("problem body not encoded", zap.Error(err))
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // a caller that is gone needs no answer
}

// problem is the RFC 9457 body of a refusal.
type problem struct {
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

// statusOf maps a failure to a status. Callers read 503 and 429 as the promise that
// the request did not run, and 502 and 504 as no promise at all.
func statusOf(f *outcome.Failure) int {
	status := f.Reason.Status()
	switch {
	case f.Outcome == outcome.NotRun && status >= http.StatusInternalServerError:
		return http.StatusServiceUnavailable
	case f.Outcome == outcome.NotRun:
		return status
	case f.Reason == outcome.ReasonTargetFailed:
		return http.StatusBadGateway
	}
	return http.StatusGatewayTimeout
}
