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
	tokenLineFormat    = "author, role (read or operate) and hex SHA-256 of the token, separated by blanks"
)

var authorPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._@-]{0,62}$`)

// Tokens are the operators' tokens of one file, as it was read. They do not change.
type Tokens struct{ entries []tokenEntry }

// LoadTokens reads a tokens file. The tokens are nil if there are findings.
func LoadTokens(path string) (*Tokens, []Finding) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, []Finding{{File: path, Problem: "cannot be read: " + err.Error(), Allowed: "a readable file"}}
	}
	return ParseTokens(path, content)
}

// ParseTokens parses the content of a tokens file. path is used in findings only. The tokens
// are nil if there are findings.
func ParseTokens(path string, content []byte) (*Tokens, []Finding) {
	p := &tokensParser{path: path, lineOf: map[[sha256.Size]byte]int{}}
	if len(content) > maxTokensFileBytes {
		p.addFinding(0, "is too long", "up to 1 MiB")
		return nil, p.findings
	}
	for line := range strings.Lines(string(content)) {
		p.line++
		p.parse(strings.TrimSpace(line))
	}
	if len(p.entries) == 0 && len(p.findings) == 0 {
		p.addFinding(p.line, "no token is given", tokenLineFormat)
	}
	if len(p.findings) > 0 {
		return nil, p.findings
	}
	return &Tokens{entries: p.entries}, nil
}

// Authenticate returns the author and role of the token. ok is false if there is no such
// token. It compares with all entries in constant time, so that its duration reveals
// nothing about them.
func (t *Tokens) Authenticate(token string) (author string, role Role, ok bool) {
	digest := sha256.Sum256([]byte(token))
	index := -1
	for i := range t.entries {
		match := subtle.ConstantTimeCompare(digest[:], t.entries[i].digest[:])
		index = subtle.ConstantTimeSelect(match, i, index)
	}
	if index < 0 {
		return "", "", false
	}
	return t.entries[index].author, t.entries[index].role, true
}
