package settings

import (
	"cmp"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// reader reads one settings file and collects the findings on it.
type reader struct {
	path string
	// keys are the keys that the file may have. finalCheck checks their values against
	// each other once all are set.
	keys       []Key
	finalCheck func(*reader)

	index    *lineIndex
	file     *ini.File
	settings *Settings
	findings []Finding
}

func (r *reader) read() {
	file, err := ini.LoadSources(iniOptions, r.index.cleaned)
	if err != nil {
		r.addAt(1, "file", "", "is not INI: "+err.Error(), "sections of key = value")
		return
	}
	r.file = file
	r.checkMalformed()
	r.checkUnknownSections()
	r.checkUnknownKeys()
	r.checkDuplicates()
	r.setAll()
	r.finalCheck(r)
}

func (r *reader) addAt(line int, section, key, problem, allowed string) {
	r.findings = append(r.findings, Finding{
		File: r.path, Line: line, Section: section, Key: key, Problem: problem, Allowed: allowed,
	})
}

// add adds a finding at the line of the key, or of its section if the key is missing.
func (r *reader) add(section, key, problem, allowed string) {
	r.addAt(r.index.lineFor(section, key), section, key, problem, allowed)
}

func (r *reader) checkMalformed() {
	for _, at := range r.index.malformed {
		r.addAt(at.line, cmp.Or(at.section, "file"), "", "the line is not read", "key = value without quotes, below a [section]")
	}
}

func (r *reader) checkUnknownSections() {
	for section, line := range r.index.sections {
		if !slices.ContainsFunc(r.keys, func(k Key) bool { return k.Section == section }) {
			r.addAt(line, section, "", "unknown section", strings.Join(sectionNames(r.keys), ", "))
		}
	}
}

func (r *reader) checkUnknownKeys() {
	for _, at := range r.index.keys {
		allowed := keyNames(r.keys, at.section)
		if len(allowed) > 0 && !slices.Contains(allowed, at.key) {
			r.addAt(at.line, at.section, at.key, "unknown key", strings.Join(allowed, ", "))
		}
	}
}

func (r *reader) checkDuplicates() {
	seen := map[position]bool{}
	for _, at := range r.index.keys {
		id := position{section: at.section, key: at.key}
		if seen[id] {
			r.addAt(at.line, at.section, at.key, "is given twice", "once")
		}
		seen[id] = true
	}
}

func (r *reader) setAll() {
	for _, key := range r.keys {
		r.set(key)
	}
}

func (r *reader) set(key Key) {
	text, given := r.value(key)
	switch {
	case !given && key.Required:
		r.add(key.Section, key.Name, "is missing", key.Allowed())
		return
	case !given && key.Default == "":
		return
	case !given:
		text = key.Default
	}
	if problem := key.setValue(r.settings, text); problem != "" {
		r.add(key.Section, key.Name, problem, key.Allowed())
	}
}

// value returns the key's text as written. The INI library's Key.String would expand
// %(name)s.
func (r *reader) value(key Key) (text string, given bool) {
	if r.index.lineOf(key.Section, key.Name) == 0 {
		return "", false
	}
	return r.file.Section(key.Section).Key(key.Name).Value(), true
}

func (r *reader) sortFindings() {
	slices.SortStableFunc(r.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Section, b.Section), cmp.Compare(a.Key, b.Key))
	})
}

func sectionNames(keys []Key) []string {
	var names []string
	for _, key := range keys {
		if !slices.Contains(names, key.Section) {
			names = append(names, key.Section)
		}
	}
	return names
}

func keyNames(keys []Key, section string) []string {
	var names []string
	for _, key := range keys {
		if key.Section == section {
			names = append(names, key.Name)
		}
	}
	return names
}
