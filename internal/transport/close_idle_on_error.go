package transport

import "net/http"

// wary drops all idle connections when a request on one of them got no answer.
//
// Something between two ends may lose track of their connections: these go silent for good,
// all at once, while new ones work. A request then waits for its time limit on one of them,
// the next one does on another, and a change of the configuration waits for both. One time
// limit is enough to know.
type wary struct{ *http.Transport }

// CloseIdleOnError returns a transport that trusts no idle connection after a request failed.
func CloseIdleOnError(t *http.Transport) http.RoundTripper { return wary{t} }

// RoundTrip implements http.RoundTripper.
func (w wary) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := w.Transport.RoundTrip(req)
	if err != nil {
		w.Transport.CloseIdleConnections()
	}
	return resp, err
}
