// Package service is the system's view of plain services: targets that answer
// one call with one response.
//
// Connecting and calling are two steps, as they fail differently. A failed Connect
// proves that the call did not run. A *CallError says whether a byte of the call may
// have left this VM; if so the call may have run, also when the connection was reset.
// A response counts only if it carries the call's request id and has its stated
// length.
package service
