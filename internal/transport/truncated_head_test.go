package transport

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// truncatedConn is a connection whose peer sends some bytes and closes it in order.
type truncatedConn struct {
	net.Conn
	sent *strings.Reader
}

func (c *truncatedConn) Read(p []byte) (int, error)      { return c.sent.Read(p) }
func (*truncatedConn) SetReadDeadline(t time.Time) error { return nil }

// Guards against a head that stops in the middle and is taken for a whole one, such as one that lost its length and
// with it the answer's body.
func TestHeadThatStopsInTheMiddleIsNoAnswer(t *testing.T) {
	const fields = "Request-Id: r1\r\nResponse-Signature: signed\r\nContent-Type: text/plain\r\n"
	for name, head := range map[string]string{
		"length last":   "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 1234\r\n\r\n",
		"chunks last":   "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n",
		"no length":     "HTTP/1.1 200 OK\r\n" + fields + "\r\n",
		"HTTP/1.0":      "HTTP/1.0 200 OK\r\n" + fields + "\r\n",
		"bare newlines": strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+fields+"Content-Length: 1234\r\n\r\n", "\r\n", "\n"),
		"folded":        "HTTP/1.1 200 OK\r\n" + fields + "Note: a\r\n b\r\nContent-Length: 1234\r\n\r\n",
		"after interim": "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + "Content-Length: 1234\r\n\r\n",
	} {
		for n := range len(head) {
			conn := newConn(&truncatedConn{sent: strings.NewReader(head[:n])}, time.Second, Settings{}.WithDefaults())
			if resp, err := conn.ReadHead(&http.Request{Method: http.MethodGet}, 1<<20); err == nil {
				t.Errorf("%s, %d of %d bytes: status %d, length %d", name, n, len(head), resp.StatusCode, resp.ContentLength)
			}
		}
		conn := newConn(&truncatedConn{sent: strings.NewReader(head)}, time.Second, Settings{}.WithDefaults())
		resp, err := conn.ReadHead(&http.Request{Method: http.MethodGet}, 1<<20)
		if err != nil {
			t.Errorf("%s, whole: %v", name, err)
			continue
		}
		if _, err := io.ReadAll(resp.Body); resp.ContentLength > 0 && err == nil {
			t.Errorf("%s: a missing body is read without an error", name)
		}
	}
}
