package api

import "strings"

// prompt cuts texts into pieces that count as tokens.
type prompt struct {
	pieces    []string
	maxPieces int
	tooLong   bool
}

func (p *prompt) add(text string) {
	if text == "" || p.tooLong {
		return
	}
	// Counted first, so that a body of blanks costs no more than it may.
	if len(p.pieces)+strings.Count(text, " ")+1 > p.maxPieces {
		p.tooLong = true
		return
	}
	pieces := strings.SplitAfter(text, " ")
	if pieces[len(pieces)-1] == "" {
		pieces = pieces[:len(pieces)-1]
	}
	p.pieces = append(p.pieces, pieces...)
}

func (p *prompt) problem() string {
	switch {
	case p.tooLong:
		return "The prompt has too many words."
	case len(p.pieces) == 0:
		return "The prompt is empty."
	}
	return ""
}
