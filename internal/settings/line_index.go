package settings

import "strings"

// lineIndex records the lines of sections and keys, which the INI library does not
// report.
type lineIndex struct {
	// sections maps each section to the line of its first header.
	sections map[string]int
	keys     []position
	// malformed are lines that are neither a comment, nor a section, nor key = value.
	malformed []position
	// lines is the number of lines of the file.
	lines int
	// cleaned is the file with malformed lines emptied, so that line numbers do not
	// change.
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

// addKey records the key on a line and reports whether the line is well formed. A value
// that starts with a quote is rejected: the INI library would read it across line ends,
// and lines that an operator means as keys would silently become part of the value.
func (x *lineIndex) addKey(section, line string, number int) bool {
	key, value, found := strings.Cut(line, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	at := position{section: section, key: key, line: number}
	if !found || key == "" || section == "" || strings.ContainsAny(key, "\"`[]") || strings.IndexAny(value, "\"`'") == 0 {
		x.malformed = append(x.malformed, at)
		return false
	}
	x.keys = append(x.keys, at)
	return true
}

// lineOf returns the line of a key's last occurrence, 0 if the file does not have it.
func (x *lineIndex) lineOf(section, key string) int {
	for i := len(x.keys) - 1; i >= 0; i-- {
		if x.keys[i].section == section && x.keys[i].key == key {
			return x.keys[i].line
		}
	}
	return 0
}

// lineFor returns the line for a finding on a key that may be missing: the line of the
// key, else that of its section, else the last line of the file.
func (x *lineIndex) lineFor(section, key string) int {
	if line := x.lineOf(section, key); line > 0 {
		return line
	}
	if line := x.sections[section]; line > 0 {
		return line
	}
	return x.lines
}
