package api

import "strings"

// textCollector is a router.TokenSink that concatenates the tokens.
type textCollector struct{ text strings.Builder }

// Token implements router.TokenSink.
func (s *textCollector) Token(_ int, text string) error {
	s.text.WriteString(text)
	return nil
}
