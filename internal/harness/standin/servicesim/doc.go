// Package servicesim is a small stand-in for a plain service.
//
// A Service executes each call after a service time and records the execution by
// request id and body, so that a test can prove how often a call ran. Faults are
// ordered by methods or by POST /faults.
package servicesim
