package standin

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"geraniumcroft/internal/config"
)

// section is a section of the file being read, with the errors found in it.
type section struct {
	ini *ini.Section
	// kind and name are the two parts of the heading, such as "engine gpu-1".
	kind, name string
	// readKeys are the keys read so far; the section may hold no others.
	readKeys map[string]bool
	findings []config.Finding
}

func newSection(s *ini.Section) *section {
	kind, name, _ := strings.Cut(s.Name(), " ")
	return &section{ini: s, kind: kind, name: name, readKeys: map[string]bool{}}
}

func (s *section) addFinding(key, problem, allowed string) {
	s.findings = append(s.findings, config.Finding{Path: s.ini.Name() + "." + key, Problem: problem, Allowed: allowed})
}

// get parses the value of a key. It returns the fallback if the key is missing or
// empty. If the value does not parse, it adds a finding and returns the fallback.
func get[T any](s *section, key string, fallback T, allowed string, parse func(string) (T, error)) T {
	s.readKeys[key] = true
	text := s.ini.Key(key).String()
	if text == "" {
		return fallback
	}
	value, err := parse(text)
	if err != nil {
		s.addFinding(key, strconv.Quote(text)+" is not read", allowed)
		return fallback
	}
	return value
}

func (s *section) text(key, fallback string) string {
	return get(s, key, fallback, "", func(text string) (string, error) { return text, nil })
}

func (s *section) count(key string, fallback int) int {
	return get(s, key, fallback, "a whole number from 0", func(text string) (int, error) {
		value, err := strconv.ParseUint(text, 10, 31)
		return int(value), err
	})
}

func (s *section) rate(key string) float64 {
	return get(s, key, 0, "a number", func(text string) (float64, error) { return strconv.ParseFloat(text, 64) })
}

func (s *section) duration(key string) time.Duration {
	return get(s, key, 0, "a duration such as 20ms", time.ParseDuration)
}

// finish adds a finding for each unknown key and returns all findings.
func (s *section) finish() []config.Finding {
	for _, key := range s.ini.KeyStrings() {
		if !s.readKeys[key] {
			s.addFinding(key, "unknown key", strings.Join(slices.Sorted(maps.Keys(s.readKeys)), ", "))
		}
	}
	return s.findings
}
