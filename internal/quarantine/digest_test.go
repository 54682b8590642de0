package quarantine

import "testing"

func TestDigestTellsRequestsApart(t *testing.T) {
	base := Content{Method: "POST", Host: "a.example", URI: "/draft/1", Workspace: "crew", Body: []byte("prompt")}
	if again := base; DigestOf(again) != DigestOf(base) {
		t.Error("the same content has two digests")
	}
	for name, change := range map[string]func(*Content){
		"method":    func(c *Content) { c.Method = "PUT" },
		"host":      func(c *Content) { c.Host = "b.example" },
		"query":     func(c *Content) { c.URI = "/draft/1?x=1" },
		"workspace": func(c *Content) { c.Workspace = "desk" },
		"body":      func(c *Content) { c.Body = []byte("prompts") },
		"boundary":  func(c *Content) { c.URI, c.Workspace = "/draft/", "1crew" },
	} {
		other := base
		change(&other)
		if DigestOf(other) == DigestOf(base) {
			t.Errorf("a change of the %s keeps the digest", name)
		}
	}
}

func TestDigestIsReadBack(t *testing.T) {
	d := DigestOf(Content{Body: []byte("x")})
	if got, err := ParseDigest(d.String()); err != nil || got != d {
		t.Errorf("%v, %v", got, err)
	}
	for _, text := range []string{"", "zz", d.String()[2:], d.String() + "00"} {
		if _, err := ParseDigest(text); err == nil {
			t.Errorf("%q was read", text)
		}
	}
}
