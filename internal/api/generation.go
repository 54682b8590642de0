package api

import (
	"time"

	"geraniumcroft/internal/outcome"
	"geraniumcroft/internal/router"
)

// generation is a request for a generation in either format.
type generation struct {
	router.GenerateRequest
	format       format
	stream       bool
	includeUsage bool
	created      time.Time
}

func (x *exchange) chat()        { x.generate(chatFormat) }
func (x *exchange) completions() { x.generate(completionFormat) }

// generate serves a request for a generation in the format f.
func (x *exchange) generate(f format) {
	g, failure := x.readGeneration(f)
	switch {
	case failure != nil:
		x.refuse(failure)
	case g.stream:
		x.respondStream(g)
	default:
		x.respondBuffered(g)
	}
}

// readGeneration reads and checks the request for a generation.
func (x *exchange) readGeneration(f format) (*generation, *outcome.Failure) {
	meta, failure := x.metadata()
	if failure != nil {
		return nil, failure
	}
	body, failure := x.readBody(&meta)
	if failure != nil {
		return nil, failure
	}
	parsed, problem := f.parse(body, x.options.MaxPromptPieces)
	if problem != "" {
		return nil, badRequest(problem)
	}
	if failure := x.setProfile(&meta, parsed.model); failure != nil {
		return nil, failure
	}
	return &generation{
		GenerateRequest: router.GenerateRequest{Metadata: meta, Prompt: parsed.prompt, MaxTokens: parsed.maxTokens},
		format:          f,
		stream:          parsed.stream,
		includeUsage:    parsed.includeUsage,
		created:         x.arrival,
	}, nil
}
