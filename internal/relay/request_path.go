package relay

import (
	"net/http"
	"strconv"
	"strings"
)

// sentPath returns the path of a request as its caller sent it, and whether a URL may hold it. A path that a URL
// must not hold would reach the replica in another form.
func sentPath(r *http.Request) (path string, ok bool) {
	path, _, _ = strings.Cut(r.RequestURI, "?")
	if !strings.HasPrefix(path, "/") { // absolute form, or a request that did not come over a connection
		return r.URL.EscapedPath(), true
	}
	return path, path == r.URL.EscapedPath()
}

// normalizePath returns the form of an escaped path in which equal paths are equal texts (RFC 3986, section 6.2.2):
// unreserved characters are not escaped, and escapes have upper-case digits. An escaped slash stays escaped: it
// does not separate segments.
func normalizePath(escaped string) string {
	if !strings.Contains(escaped, "%") {
		return escaped
	}
	var b strings.Builder
	for i := 0; i < len(escaped); i++ {
		if escaped[i] != '%' || i+2 >= len(escaped) {
			b.WriteByte(escaped[i])
			continue
		}
		code, err := strconv.ParseUint(escaped[i+1:i+3], 16, 8)
		switch {
		case err != nil:
			b.WriteByte(escaped[i])
			continue
		case isUnreserved(byte(code)):
			b.WriteByte(byte(code))
		default:
			b.WriteString(strings.ToUpper(escaped[i : i+3]))
		}
		i += 2
	}
	return b.String()
}

func isUnreserved(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("-._~", c) >= 0
}
