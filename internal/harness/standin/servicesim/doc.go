// Package servicesim simulates a plain service.
//
// A Service executes each call after a service time and records the execution with
// its request id and body, so that a test can verify how often a call ran. Faults
// are injected by methods or by POST /faults.
package servicesim
