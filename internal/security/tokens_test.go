package security

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestTokensFile(t *testing.T) {
	file := fmt.Sprintf("# operators\n\nana operate %s\nben\tread %s\n", DigestOf("a-token"), strings.ToUpper(DigestOf("b-token")))
	tokens, findings := ParseTokens("t", []byte(file))
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	for _, test := range []struct {
		token, author string
		role          Role
		ok            bool
	}{
		{"a-token", "ana", RoleOperate, true},
		{"b-token", "ben", RoleRead, true},
		{"c-token", "", "", false},
		{"", "", "", false},
		{DigestOf("a-token"), "", "", false},
	} {
		if author, role, ok := tokens.Authenticate(test.token); author != test.author || role != test.role || ok != test.ok {
			t.Errorf("%q: %q %q %t", test.token, author, role, ok)
		}
	}
}

// A file has several errors, among them a token in place of its digest. All are reported with
// their lines, and no finding contains the token.
func TestTokensFindings(t *testing.T) {
	Convey("A file with errors yields a finding for each, and no tokens", t, func() {
		digest := DigestOf("x")
		file := "ana operate " + digest + "\nben admin " + digest + "\ncat read secret-token\nonly two\n-x read " + digest + "\n" + "dan read " + digest + "\n"
		tokens, findings := ParseTokens("t", []byte(file))
		text := (&FindingsError{Findings: findings}).Error()
		So(tokens, ShouldBeNil)
		So(strings.Split(text, "\n"), ShouldResemble, []string{
			"t:2: the role is not known, allowed: read, operate",
			"t:3: the digest is not a SHA-256, allowed: 64 hexadecimal digits",
			"t:4: the line has not three parts, allowed: " + tokenLineFormat,
			"t:5: the author is not a name, allowed: 1 to 63 letters, digits, '.', '_', '@' and '-'",
			"t:6: the token is given twice, allowed: a token of its own on each line",
		})
		So(text, ShouldNotContainSubstring, "secret-token")
	})

	Convey("A file without a token yields a finding", t, func() {
		_, findings := ParseTokens("t", []byte("# none\n"))
		So(findings, ShouldHaveLength, 1)
	})
}

func TestCheckKey(t *testing.T) {
	digests := []string{DigestOf("one"), strings.ToUpper(DigestOf("two")), "short"}
	for key, want := range map[string]bool{"one": true, "two": true, "three": false, "": false, "short": false} {
		if CheckKey(key, digests) != want {
			t.Errorf("%q: want %t", key, want)
		}
	}
	if CheckKey("one", nil) {
		t.Error("a key is accepted without digests")
	}
}

func TestRoleAllows(t *testing.T) {
	Convey("RoleOperate allows operating and reading", t, func() {
		So(RoleOperate.Allows(RoleOperate), ShouldBeTrue)
		So(RoleOperate.Allows(RoleRead), ShouldBeTrue)
	})

	Convey("RoleRead allows reading but not operating", t, func() {
		So(RoleRead.Allows(RoleRead), ShouldBeTrue)
		So(RoleRead.Allows(RoleOperate), ShouldBeFalse)
	})

	Convey("An empty role allows nothing", t, func() {
		So(Role("").Allows(RoleRead), ShouldBeFalse)
		So(Role("").Allows(RoleOperate), ShouldBeFalse)
	})
}

func FuzzParseTokens(f *testing.F) {
	f.Add("ana operate " + DigestOf("x") + "\n")
	f.Add("a b c\n\x00 read\n#\n")
	f.Fuzz(func(t *testing.T, file string) {
		if tokens, findings := ParseTokens("t", []byte(file)); (tokens == nil) == (len(findings) == 0) {
			t.Errorf("tokens %v with findings %v", tokens, findings)
		}
	})
}
