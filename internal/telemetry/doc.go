// Package telemetry makes the process's logger and metrics.
//
// Both are on the path of every request and must never hold one up. Lines go
// through a bounded queue to the log's writer: when the writer stalls (a full
// pipe, a slow collector) lines are dropped and counted, where a direct write
// would stop every goroutine that logs. Metrics are counters that were looked up
// before; names that callers and operators choose are kept to a bounded number,
// the rest counts as "other".
//
// Nothing secret is logged: a line on a request is made from a RequestEnd, which has
// no key, token or body, and callers' keys travel as secret.Value.
package telemetry
