package settings

import (
	"os"

	"gopkg.in/ini.v1"
)

// maxFileBytes bounds a settings file, in case the path names another kind of file.
const maxFileBytes = 1 << 20

// Load reads a settings file. The settings are nil if there is any finding.
func Load(path string) (*Settings, []Finding) {
	return load(path, Parse)
}

// load reads a file and parses it with parse.
func load(path string, parse func(path string, file []byte) (*Settings, []Finding)) (*Settings, []Finding) {
	file, err := os.ReadFile(path)
	if err != nil {
		return nil, []Finding{{File: path, Section: "file", Problem: "cannot be read: " + err.Error(), Allowed: "a readable INI file"}}
	}
	return parse(path, file)
}

// Parse is Load for the contents of a file; path only appears in findings.
func Parse(path string, file []byte) (*Settings, []Finding) {
	return parse(path, file, Keys, (*reader).crossCheck)
}

// parse reads the given keys from a file and then calls check, which checks their
// values against each other.
func parse(path string, file []byte, keys []Key, check func(*reader)) (*Settings, []Finding) {
	if len(file) > maxFileBytes {
		return nil, []Finding{{File: path, Section: "file", Problem: "is too long", Allowed: "up to 1 MiB"}}
	}
	r := &reader{path: path, keys: keys, index: indexLines(file), settings: &Settings{}, finalCheck: check}
	r.read()
	if len(r.findings) > 0 {
		r.sortFindings()
		return nil, r.findings
	}
	return r.settings, nil
}

// iniOptions turn off features of the INI library that make the meaning of a line
// depend on other lines or on the process's environment.
var iniOptions = ini.LoadOptions{
	IgnoreContinuation:       true,
	SpaceBeforeInlineComment: true,
	KeyValueDelimiters:       "=",
}
