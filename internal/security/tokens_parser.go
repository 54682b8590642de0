package security

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// tokensParser collects the entries and findings of a tokens file.
type tokensParser struct {
	path    string
	line    int
	entries []tokenEntry
	// lineOf maps the digest of each entry to its line.
	lineOf   map[[sha256.Size]byte]int
	findings []Finding
}

func (p *tokensParser) addFinding(line int, problem, allowed string) {
	p.findings = append(p.findings, Finding{File: p.path, Line: line, Problem: problem, Allowed: allowed})
}

func (p *tokensParser) parse(line string) {
	if line == "" || line[0] == '#' {
		return
	}
	fields := strings.Fields(line)
	if len(fields) != 3 {
		p.addFinding(p.line, "the line has not three parts", tokenLineFormat)
		return
	}
	entry, ok := p.parseEntry(fields[0], fields[1], fields[2])
	if ok {
		p.addEntry(entry)
	}
}

func (p *tokensParser) parseEntry(author, role, digest string) (tokenEntry, bool) {
	before := len(p.findings)
	entry := tokenEntry{author: author, role: Role(role)}
	if !authorPattern.MatchString(author) {
		p.addFinding(p.line, "the author is not a name", "1 to 63 letters, digits, '.', '_', '@' and '-'")
	}
	if entry.role != RoleRead && entry.role != RoleOperate {
		p.addFinding(p.line, "the role is not known", "read, operate")
	}
	decoded, err := hex.DecodeString(digest)
	if err != nil || len(decoded) != sha256.Size {
		p.addFinding(p.line, "the digest is not a SHA-256", "64 hexadecimal digits")
	}
	copy(entry.digest[:], decoded)
	return entry, len(p.findings) == before
}

// addEntry refuses a token that occurs on two lines: its author or role would depend on the
// order of the lines.
func (p *tokensParser) addEntry(entry tokenEntry) {
	if earlier := p.lineOf[entry.digest]; earlier > 0 {
		p.addFinding(p.line, "the token is given twice", "a token of its own on each line")
		return
	}
	if len(p.entries) == maxTokens {
		p.addFinding(p.line, "there are too many tokens", "up to 1000")
		return
	}
	p.lineOf[entry.digest] = p.line
	p.entries = append(p.entries, entry)
}
