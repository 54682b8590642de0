package api

import "strings"

// promptSplitter splits texts after each space into pieces, which count as tokens.
type promptSplitter struct {
	pieces    []string
	maxPieces int
	tooLong   bool
}

func (p *promptSplitter) add(text string) {
	if text == "" || p.tooLong {
		return
	}
	// Count before splitting, so that a text of spaces can't allocate more than
	// maxPieces pieces.
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

// problem returns what is wrong with the prompt, or "".
func (p *promptSplitter) problem() string {
	switch {
	case p.tooLong:
		return "The prompt has too many words."
	case len(p.pieces) == 0:
		return "The prompt is empty."
	}
	return ""
}
