// Package quarantine detects requests that crash the replicas that run them, also known as queries of
// death, and keeps them from being sent again.
//
// What crashes replicas may be one request, or a part of prompts that many requests have and that crashes
// whatever runs one of them. A Ledger records, by Identity, the replicas that crashed while an early run of a
// request was on them (see Settings.CrashWindow): for the whole content of the request and for each part
// of its prompt that other requests may have. A request with crashes of Settings.CrashThreshold different
// replicas, or of one fewer if they were Settings.MinCrashSpacing apart, is quarantined: it is refused
// until no caller has sent it for Settings.QuarantineTTL, or until an operator lifts the quarantine. A part
// is quarantined, with all requests that have it, after Settings.CrashThreshold crashes that were not all
// at the same time. Most requests that are on a replica when it crashes did not cause the crash. These
// rules distinguish them from those that did:
//
//   - A run that has produced events for Settings.CrashWindow, or a complete response, shows that
//     the request does not crash replicas: all recorded crashes of its identities are cleared, or else a
//     later one is excused.
//   - A crash counts once per incarnation of a replica, however many VMs report it and however often.
//   - A crash has one cause. Once an identity is quarantined, its crashes do not count against others; see
//     findCulprits.
//
// VMs exchange their records as Reports (see package sharing), which can be merged in any order and any
// number of times: crashes are only added and marked as cleared. Times in a Report are relative to an
// epoch whose age is sent along, because the clocks of VMs differ. This package does no network I/O and
// does not read the clock: callers pass the time.
package quarantine
