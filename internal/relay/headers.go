package relay

import (
	"net/http"
	"strings"
)

// hopHeaders concern one connection only and are never passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// withoutHops returns a copy of the headers that another connection may carry.
func withoutHops(h http.Header) http.Header {
	out := h.Clone()
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}
