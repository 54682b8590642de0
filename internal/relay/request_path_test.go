package relay

import (
	"bufio"
	"net/http"
	"net/url"
	"strings"
	"testing"
)

// Guards against a request that the service of a longer prefix runs, also without a key if that profile is public,
// as an escaped slash was matched as a slash.
func TestEscapedSlashIsNoSlash(t *testing.T) {
	c := NewConfig(1, []*Profile{{Name: "confirm", Host: "h", Prefix: "/confirm/"}, {Name: "public", Host: "h", Prefix: "/confirm/sub/", Public: true}}, nil, nil, Limits{})
	for path, name := range map[string]string{
		"/confirm/sub/x": "public", "/confirm/s%75b/x": "public", "/confirm/sub/%2F": "public", "/confirm/sub/a%20b": "public",
		"/confirm/sub%2Fx": "confirm", "/confirm/sub%2fx": "confirm", "/confirm/sub": "confirm", "/confirm%2Fsub/x": "",
	} {
		p := c.Match("h", path)
		if got := profileName(p); got != name {
			t.Errorf("%s: profile %q, want %q", path, got, name)
		}
	}
}

func profileName(p *Profile) string {
	if p == nil {
		return ""
	}
	return p.Name
}

// Guards against a path that is matched in one form and sent on in another.
func FuzzMatchedPathIsSentOn(f *testing.F) {
	for _, path := range []string{"/confirm/sub%2Fx", "/confirm/{a}|b%2Fc", "/a%7e%7E/%41", "//x", "/%", "/a%zz", "/é", "/a;b=c/d?e=%2F"} {
		f.Add(path)
	}
	f.Fuzz(func(t *testing.T, path string) {
		if !strings.HasPrefix(path, "/") || strings.ContainsAny(path, " \r\n\t#") {
			t.Skip()
		}
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n")))
		if err != nil {
			t.Skip() // the server answers 400
		}
		sent, ok := sentPath(r)
		if !ok {
			return // refused
		}
		onward := (&url.URL{Scheme: "http", Host: "replica", Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery}).RequestURI()
		if onward != path {
			t.Errorf("%q is sent on as %q", path, onward)
		}
		normal := normalizePath(sent)
		if strings.Count(normal, "/") != strings.Count(sent, "/") {
			t.Errorf("%q is matched as %q", sent, normal)
		}
		if normalizePath(normal) != normal {
			t.Errorf("%q has two normal forms", sent)
		}
	})
}
