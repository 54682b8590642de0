// Package httpplatform reaches the platform's services over HTTP with JSON bodies.
//
// Each failure is sorted by whether a byte may have left this VM. A failure to
// connect took no effect (platform.ErrUnavailable). Once a connection was handed a
// commit, anything but the service's own whole answer leaves it open whether the
// commit takes effect, now or later (platform.ErrAmbiguous): a reset, a timeout, a
// cut answer, or a 5xx, which a proxy on the way may have made up. Reads
// change nothing, so a read without a whole answer is always unavailable.
//
// An open connection can go silent while new ones work. Each attempt is bounded;
// when one runs out on a connection that was used before, all idle connections are
// closed, as they may share the cause, and a read is repeated once on a new one.
// Commits are never sent twice here: whether that is safe depends on their
// conditions, which package resilient knows about.
package httpplatform
