package security

import (
	"crypto/sha256"
	"crypto/subtle"
	"os"
	"regexp"
	"strings"
)

const (
	maxTokensFileBytes = 1 << 20
	maxTokens          = 1000
	tokenLineShape     = "author, role (read or operate) and hex SHA-256 of the token, separated by blanks"
)

var authorPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._@-]{0,62}$`)

// Tokens are the operators' tokens of one file at one moment.
type Tokens struct{ entries []tokenEntry }

// LoadTokens reads a tokens file. The tokens are nil when there is any finding.
func LoadTokens(path string) (*Tokens, []Finding) {
	file, err := os.ReadFile(path)
	if err != nil {
		return nil, []Finding{{File: path, Problem: "cannot be read: " + err.Error(), Allowed: "a readable file"}}
	}
	return ParseTokens(path, file)
}

// ParseTokens is LoadTokens for a file that has been read.
func ParseTokens(path string, file []byte) (*Tokens, []Finding) {
	p := &tokensParser{path: path, lineOf: map[[sha256.Size]byte]int{}}
	if len(file) > maxTokensFileBytes {
		p.add(0, "is too long", "up to 1 MiB")
		return nil, p.findings
	}
	for line := range strings.Lines(string(file)) {
		p.line++
		p.parse(strings.TrimSpace(line))
	}
	if len(p.entries) == 0 && len(p.findings) == 0 {
		p.add(p.line, "no token is given", tokenLineShape)
	}
	if len(p.findings) > 0 {
		return nil, p.findings
	}
	return &Tokens{entries: p.entries}, nil
}

// Authenticate returns who presents the token. It compares with all entries, so
// that its time does not tell which came close.
func (t *Tokens) Authenticate(token string) (author string, role Role, ok bool) {
	digest := sha256.Sum256([]byte(token))
	found := -1
	for i := range t.entries {
		same := subtle.ConstantTimeCompare(digest[:], t.entries[i].digest[:])
		found = subtle.ConstantTimeSelect(same, i, found)
	}
	if found < 0 {
		return "", "", false
	}
	return t.entries[found].author, t.entries[found].role, true
}
