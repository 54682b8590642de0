// Package service defines how the router calls plain services: targets that answer one
// call with one response.
//
// Connecting and calling are separate steps because they fail differently. A failed
// Connect proves that the call did not run. A *CallError says whether a byte of the call
// may have left this VM; if so the call may have run, even if the connection was reset.
// A response is valid only if it carries the call's request id and has the length that
// it states.
package service
