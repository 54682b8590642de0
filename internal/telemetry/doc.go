// Package telemetry provides the process's logger and metrics.
//
// Both are used by every request and must never block one. Log lines pass through a bounded
// queue to the log's writer. When the writer stalls (a full pipe, a slow collector), lines
// are dropped and counted; a direct write would block every goroutine that logs. Metrics are
// looked up in advance or cached. The number of names that callers and operators choose is
// bounded; further names are counted as "other".
//
// No secrets are logged: the line of a request is built from a RequestEnd, which has no key,
// token or body, and callers' keys are passed as secret.Value.
package telemetry
