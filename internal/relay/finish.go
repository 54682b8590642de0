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

// retryAfterDivisor bounds the time a caller may be told to wait to the time it has left divided by
// this. Callers do not retry after a longer time.
const retryAfterDivisor = 3

// finish records the single outcome of the request in the log and the metrics.
func (h *Handler) finish(q *request, failure *outcome.Failure) {
	ended, reason := outcome.Complete, outcome.Reason("")
	if failure != nil {
		ended, reason = failure.Outcome, failure.Reason
	}
	if q.sendGuard != nil {
		q.sendGuard.Close()
		truthful := ended != outcome.NotRun || !q.sendGuard.MayHaveRun()
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

// log writes the request's log line and, if it failed, the decisions on it.
func (h *Handler) log(q *request, failure *outcome.Failure, took time.Duration) {
	fields := []zap.Field{zap.String("requestId", q.RequestID), zap.Duration("took", took), zap.Int("runs", q.runs)}
	if q.config != nil {
		fields = append(fields, zap.Uint64("configVersion", q.config.Version), zap.Duration("configAge", h.ConfigSource.ConfigAge()))
	}
	if q.profile != nil {
		fields = append(fields, zap.String("profile", q.profile.Name), zap.String("workspace", q.workspace),
			zap.Duration("objective", q.profile.Objective), zap.Duration("gap", q.profile.Gap))
	}
	if q.class.Competing() {
		fields = append(fields, zap.Int("rank", q.class.Rank))
	}
	if len(q.identities) > 0 {
		fields = append(fields, zap.Stringer("digest", q.identities[0].Digest))
	}
	if parts := q.sharedParts(); len(parts) > 0 {
		fields = append(fields, zap.Strings("promptParts", parts))
	}
	if len(q.peers) > 0 {
		fields = append(fields, zap.Strings("throughPeers", q.peers))
	}
	fields = append(fields, q.progress.fields()...)
	if failure == nil {
		h.Logger.Info("request complete", fields...)
		return
	}
	q.decisionLog.write(h.Logger)
	fields = append(fields, zap.Stringer("outcome", failure.Outcome), zap.String("reason", string(failure.Reason)),
		zap.String("detail", failure.Detail), zap.Duration("retryAfter", failure.RetryAfter), zap.NamedError("cause", failure.Cause))
	h.Logger.Warn("request failed", fields...)
}

// refuse responds to a request that has no response of a replica.
func (h *Handler) refuse(w http.ResponseWriter, q *request, failure *outcome.Failure) {
	status := statusOf(failure)
	header := w.Header()
	retryAfter := failure.RetryAfter
	if q.Inbound.CallerTimeout > 0 {
		retryAfter = min(retryAfter, (q.Inbound.CallerTimeout-time.Since(q.arrival))/retryAfterDivisor)
	}
	h.Codec.EncodeRefusal(header, q.RequestID, max(0, retryAfter))
	header.Set("Content-Type", "application/problem+json")
	body, err := json.Marshal(problem{Title: http.StatusText(status), Status: status, Detail: failure.Detail, Outcome: failure.Outcome.String(), Reason: string(failure.Reason)})
	if err != nil {
		h.Logger.Error("problem body not encoded", zap.Error(err))
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // a caller that has disconnected does not read it
}

// problem is the RFC 9457 body of a refusal.
type problem struct {
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

// statusOf maps a failure to an HTTP status. Callers take 503 and 429 as a guarantee that the
// request did not run; 502 and 504 guarantee nothing.
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
