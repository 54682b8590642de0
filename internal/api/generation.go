package api

import (
	"time"

	"geraniumcroft/internal/outcome"
	"geraniumcroft/internal/router"
)

// generation is a request for a generation, in either of the two shapes.
type generation struct {
	router.GenerateRequest
	shape        shape
	stream       bool
	includeUsage bool
	created      time.Time
}

func (x *exchange) chat()        { x.generate(chatShape) }
func (x *exchange) completions() { x.generate(completionShape) }

func (x *exchange) generate(s shape) {
	g, failure := x.generationRequest(s)
	switch {
	case failure != nil:
		x.refuse(failure)
	case g.stream:
		x.stream(g)
	default:
		x.whole(g)
	}
}

func (x *exchange) generationRequest(s shape) (*generation, *outcome.Failure) {
	id, failure := x.identity()
	if failure != nil {
		return nil, failure
	}
	body, failure := x.readBody(&id)
	if failure != nil {
		return nil, failure
	}
	parsed, problem := s.parse(body, x.options.MaxPromptPieces)
	if problem != "" {
		return nil, badRequest(problem)
	}
	if failure := x.setProfile(&id, parsed.model); failure != nil {
		return nil, failure
	}
	return &generation{
		GenerateRequest: router.GenerateRequest{Metadata: id, Prompt: parsed.prompt, MaxTokens: parsed.maxTokens},
		shape:           s,
		stream:          parsed.stream,
		includeUsage:    parsed.includeUsage,
		created:         x.arrival,
	}, nil
}
