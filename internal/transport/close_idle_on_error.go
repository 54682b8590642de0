package transport

import "net/http"

// idleClosingTransport closes all idle connections when a request got no response.
//
// A device on the path may drop the state of all connections between two hosts at once: they
// go silent permanently while new ones work. If the idle ones were kept, one request after
// the other would run into its timeout on them, and a change of the configuration would be
// delayed by the sum. This way only the first request times out.
type idleClosingTransport struct{ *http.Transport }

// CloseIdleOnError returns a transport that closes its idle connections after each request
// that failed without a response.
func CloseIdleOnError(t *http.Transport) http.RoundTripper { return idleClosingTransport{t} }

// RoundTrip implements http.RoundTripper.
func (t idleClosingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(req)
	if err != nil {
		t.Transport.CloseIdleConnections()
	}
	return resp, err
}
