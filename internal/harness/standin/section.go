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

// section is a section that is being read, with what was found wrong with it.
type section struct {
	ini *ini.Section
	// kind and name are the parts of its heading, such as "engine gpu-1".
	kind, name string
	// asked are the keys that were asked for; a file may hold no others.
	asked    map[string]bool
	findings []config.Finding
}

func newSection(s *ini.Section) *section {
	kind, name, _ := strings.Cut(s.Name(), " ")
	return &section{ini: s, kind: kind, name: name, asked: map[string]bool{}}
}

func (s *section) find(key, problem, allowed string) {
	s.findings = append(s.findings, config.Finding{Path: s.ini.Name() + "." + key, Problem: problem, Allowed: allowed})
}

// get reads a key; one that is missing or empty takes the fallback.
func get[T any](s *section, key string, fallback T, allowed string, parse func(string) (T, error)) T {
	s.asked[key] = true
	text := s.ini.Key(key).String()
	if text == "" {
		return fallback
	}
	value, err := parse(text)
	if err != nil {
		s.find(key, strconv.Quote(text)+" is not read", allowed)
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

// finish finds the keys that nobody asked for.
func (s *section) finish() []config.Finding {
	for _, key := range s.ini.KeyStrings() {
		if !s.asked[key] {
			s.find(key, "unknown key", strings.Join(slices.Sorted(maps.Keys(s.asked)), ", "))
		}
	}
	return s.findings
}
