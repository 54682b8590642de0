package adminapi

import (
	"net/http"
	"testing"
)

// FuzzBodies guards against a body that breaks a handler: the connection of the operator who sends it ends
// without an answer, or with a fault of the VM.
func FuzzBodies(f *testing.F) {
	for _, body := range []string{
		"", " ", "null", "null\n", "\t null ", "{}", "[]", "[null]", "0", "-1e999", `"text"`, "{", "}", `{} {}`, "\x00", "\xff\xfe", "\ufeff{}",
		`{"name":null}`, `{"models":[null]}`, `{"models":null}`, `{"models":{}}`, `{"links":[null,1]}`, `{"keys":[null]}`, `{"layers":{"from":1e30}}`,
		`{"versions":[null]}`, `{"limits":null}`, `{"limits":[]}`, `{"deadline":null}`, `{"deadline":-1}`, `{"deadline":"1e9h"}`, `{"state":null}`, `{"weight":1}`,
	} {
		f.Add(body)
	}
	verbs := []struct{ method, path string }{
		{http.MethodPut, "/admin/v1/workspaces/new"}, {http.MethodPut, "/admin/v1/profiles/new"},
		{http.MethodPut, "/admin/v1/models/new"}, {http.MethodPut, "/admin/v1/targets/new"},
		{http.MethodDelete, "/admin/v1/workspaces/none"}, {http.MethodDelete, "/admin/v1/targets/none"},
		{http.MethodPost, "/admin/v1/targets/none/drain"}, {http.MethodPost, "/admin/v1/targets/none/undrain"},
	}
	f.Fuzz(func(t *testing.T, body string) {
		c := newClient(t, Options{Store: newFakeStore(t, crewsWorkspace())})
		for _, verb := range verbs {
			got := c.send(verb.method, verb.path, body, "If-None-Match: *")
			if got.status >= http.StatusInternalServerError {
				t.Errorf("%s %s with %q: %d %s", verb.method, verb.path, body, got.status, got.body)
			}
		}
	})
}
