package security

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
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

type tokenEntry struct {
	author string
	role   Role
	digest [sha256.Size]byte
}

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

type tokensParser struct {
	path     string
	line     int
	entries  []tokenEntry
	lineOf   map[[sha256.Size]byte]int
	findings []Finding
}

func (p *tokensParser) add(line int, problem, allowed string) {
	p.findings = append(p.findings, Finding{File: p.path, Line: line, Problem: problem, Allowed: allowed})
}

func (p *tokensParser) parse(line string) {
	if line == "" || line[0] == '#' {
		return
	}
	fields := strings.Fields(line)
	if len(fields) != 3 {
		p.add(p.line, "the line has not three parts", tokenLineShape)
		return
	}
	entry, ok := p.entry(fields[0], fields[1], fields[2])
	if ok {
		p.keep(entry)
	}
}

func (p *tokensParser) entry(author, role, digest string) (tokenEntry, bool) {
	before := len(p.findings)
	entry := tokenEntry{author: author, role: Role(role)}
	if !authorPattern.MatchString(author) {
		p.add(p.line, "the author is not a name", "1 to 63 letters, digits, '.', '_', '@' and '-'")
	}
	if entry.role != RoleRead && entry.role != RoleOperate {
		p.add(p.line, "the role is not known", "read, operate")
	}
	decoded, err := hex.DecodeString(digest)
	if err != nil || len(decoded) != sha256.Size {
		p.add(p.line, "the digest is not a SHA-256", "64 hexadecimal digits")
	}
	copy(entry.digest[:], decoded)
	return entry, len(p.findings) == before
}

// keep refuses a token that two lines give: its author, or role, would depend on
// the order of the lines.
func (p *tokensParser) keep(entry tokenEntry) {
	if earlier := p.lineOf[entry.digest]; earlier > 0 {
		p.add(p.line, "the token is given twice", "a token of its own on each line")
		return
	}
	if len(p.entries) == maxTokens {
		p.add(p.line, "there are too many tokens", "up to 1000")
		return
	}
	p.lineOf[entry.digest] = p.line
	p.entries = append(p.entries, entry)
}
