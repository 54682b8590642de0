package settings

import (
	"os"

	"gopkg.in/ini.v1"
)

// maxFileBytes bounds a settings file, in case the path names something else.
const maxFileBytes = 1 << 20

// Load reads a settings file. The settings are nil when there is any finding.
func Load(path string) (*Settings, []Finding) {
	return load(path, Parse)
}

// load reads a file and parses it as its kind of settings.
func load(path string, parse func(path string, file []byte) (*Settings, []Finding)) (*Settings, []Finding) {
	file, err := os.ReadFile(path)
	if err != nil {
		return nil, []Finding{{File: path, Section: "file", Problem: "cannot be read: " + err.Error(), Allowed: "a readable INI file"}}
	}
	return parse(path, file)
}

// Parse is Load for a file that has been read; path is for the findings.
func Parse(path string, file []byte) (*Settings, []Finding) {
	return parse(path, file, Keys, (*reader).crossCheck)
}

func parse(path string, file []byte, keys []Key, crossCheck func(*reader)) (*Settings, []Finding) {
	if len(file) > maxFileBytes {
		return nil, []Finding{{File: path, Section: "file", Problem: "is too long", Allowed: "up to 1 MiB"}}
	}
	r := &reader{path: path, keys: keys, index: indexLines(file), settings: &Settings{}, cross: crossCheck}
	r.read()
	if len(r.findings) > 0 {
		r.sortFindings()
		return nil, r.findings
	}
	return r.settings, nil
}

// iniOptions turn off what would make one line's meaning depend on another's or
// on the process's environment.
var iniOptions = ini.LoadOptions{
	IgnoreContinuation:       true,
	SpaceBeforeInlineComment: true,
	KeyValueDelimiters:       "=",
}
