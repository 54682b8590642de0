package api

import "strings"

// wholeSink collects a generation's text.
type wholeSink struct{ text strings.Builder }

// Token implements router.TokenSink.
func (s *wholeSink) Token(_ int, text string) error {
	s.text.WriteString(text)
	return nil
}
