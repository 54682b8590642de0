// Package httpplatform is a client of the platform's services over HTTP with JSON bodies.
//
// Failures are classified by whether bytes of the request may have left this VM. A failure
// to connect took no effect (platform.ErrUnavailable). Once a connection was assigned to a
// commit, anything but a complete response of the service itself is ambiguous: the commit
// may have taken effect or may do so later (platform.ErrAmbiguous). This applies to a
// reset, a timeout, a truncated response, and a 5xx, which a proxy may have generated.
// Reads change nothing, so a read without a complete response is always unavailable.
//
// An open connection can go silent while new ones work. Each attempt has a timeout. When
// an attempt times out on a connection that was used before, all idle connections are
// closed, as they may be affected by the same cause, and a read is repeated once on a new
// connection. This package never sends a commit twice: whether that is safe depends on the
// commit's conditions, which package resilient handles.
package httpplatform
