package settings

import "strings"

// lineIndex tells where each section and key stands; the INI library does not.
type lineIndex struct {
	sections map[string]int
	keys     []place
	// malformed are lines that are neither a comment, nor a section, nor key = value.
	malformed []place
	lines     int
	// cleaned is the file without the malformed lines, at unchanged line numbers.
	cleaned []byte
}

func indexLines(file []byte) *lineIndex {
	index := &lineIndex{sections: map[string]int{}}
	lines := strings.Split(strings.TrimSuffix(string(file), "\n"), "\n")
	index.lines = len(lines)
	section := ""
	for i, raw := range lines {
		line := strings.TrimSpace(raw)
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[' && strings.Contains(line, "]"):
			section = strings.TrimSpace(line[1:strings.LastIndex(line, "]")])
			index.addSection(section, i+1)
		default:
			if !index.addKey(section, line, i+1) {
				lines[i] = ""
			}
		}
	}
	index.cleaned = []byte(strings.Join(lines, "\n"))
	return index
}

func (x *lineIndex) addSection(section string, line int) {
	if _, given := x.sections[section]; !given {
		x.sections[section] = line
	}
}

// addKey reports whether the line is a well-formed key. A value that opens a
// quote is refused: the library would read on over line ends, and lines that an
// operator sees as keys would silently be part of that value.
func (x *lineIndex) addKey(section, line string, number int) bool {
	key, value, found := strings.Cut(line, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	at := place{section: section, key: key, line: number}
	if !found || key == "" || section == "" || strings.ContainsAny(key, "\"`[]") || strings.IndexAny(value, "\"`'") == 0 {
		x.malformed = append(x.malformed, at)
		return false
	}
	x.keys = append(x.keys, at)
	return true
}

// lineOf returns where a key stands last, 0 when it is not given.
func (x *lineIndex) lineOf(section, key string) int {
	for i := len(x.keys) - 1; i >= 0; i-- {
		if x.keys[i].section == section && x.keys[i].key == key {
			return x.keys[i].line
		}
	}
	return 0
}

// lineFor returns the best line for a finding on a key that may be missing.
func (x *lineIndex) lineFor(section, key string) int {
	if line := x.lineOf(section, key); line > 0 {
		return line
	}
	if line := x.sections[section]; line > 0 {
		return line
	}
	return x.lines
}
