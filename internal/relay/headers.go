package relay

import (
	"net/http"
	"strings"
)

// hopByHopHeaders apply to a single connection and are never forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// withoutHopHeaders returns a copy of the headers without those that apply to a single connection.
func withoutHopHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}
