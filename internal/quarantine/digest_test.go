package quarantine

import "testing"

// Guards against requests with different content that share a digest: a quarantine would then refuse
// requests that crash nothing.
func TestDigestDependsOnEveryField(t *testing.T) {
	base := Content{Method: "POST", Host: "a.example", URI: "/draft/1", Workspace: "crew", Body: []byte("prompt")}
	if again := base; DigestOf(again) != DigestOf(base) {
		t.Error("equal contents have different digests")
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
			t.Errorf("changing the %s did not change the digest", name)
		}
	}
}

func TestParseDigestReversesString(t *testing.T) {
	d := DigestOf(Content{Body: []byte("x")})
	if got, err := ParseDigest(d.String()); err != nil || got != d {
		t.Errorf("%v, %v", got, err)
	}
	for _, text := range []string{"", "zz", d.String()[2:], d.String() + "00"} {
		if _, err := ParseDigest(text); err == nil {
			t.Errorf("ParseDigest(%q) returned no error", text)
		}
	}
}
