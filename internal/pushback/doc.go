// Package pushback tracks the flow control signals of replicas: rate limits, requests to back off, and
// announcements that a replica is leaving, which means that it is about to end.
//
// Replicas send these signals with their answers, and each answer is passed to the Ledger as a Signal.
// A signal applies to one incarnation of the replica. A rate limit applies to all VMs together, so each
// VM uses only its quota of it. The VMs exchange limits and departures as Notices (see package sharing).
// This package does no network I/O and does not read the clock: callers pass the time.
package pushback
