package api

import (
	"encoding/json"
	"net/http"
	"strings"

	"geraniumcroft/internal/outcome"
	"geraniumcroft/internal/router"
)

// wholeSink collects a generation's text.
type wholeSink struct{ text strings.Builder }

// Token implements router.TokenSink.
func (s *wholeSink) Token(_ int, text string) error {
	s.text.WriteString(text)
	return nil
}

// wholeAnswer is an OpenAI-shaped answer.
type wholeAnswer struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []wholeChoice `json:"choices"`
	Usage   usage         `json:"usage"`
}

// wholeChoice has a message in a chat and a text otherwise.
type wholeChoice struct {
	Index        int           `json:"index"`
	Message      *wholeMessage `json:"message,omitempty"`
	Text         *string       `json:"text,omitempty"`
	Logprobs     *struct{}     `json:"logprobs"`
	FinishReason string        `json:"finish_reason"`
}

type wholeMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// whole answers once the last token is there.
func (x *exchange) whole(g *generation) {
	sink := &wholeSink{}
	result, err := x.router.Generate(x.r.Context(), g.GenerateRequest, sink)
	if err != nil {
		x.fail(failureOf(err))
		return
	}
	body, err := json.Marshal(g.wholeAnswer(sink.text.String(), result))
	if err != nil {
		panic(err)
	}
	x.answer(http.StatusOK, "application/json", outcome.Complete, body)
}

func (g *generation) wholeAnswer(text string, result router.GenerateResult) wholeAnswer {
	choice := wholeChoice{FinishReason: result.Finish}
	if g.shape.object == chatShape.object {
		choice.Message = &wholeMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	return wholeAnswer{
		ID:      g.shape.idPrefix + g.RequestID,
		Object:  g.shape.object,
		Created: g.created.Unix(),
		Model:   g.Profile,
		Choices: []wholeChoice{choice},
		Usage:   g.usage(result.Tokens),
	}
}

func (g *generation) usage(tokens int) usage {
	return usage{PromptTokens: len(g.Prompt), CompletionTokens: tokens, TotalTokens: len(g.Prompt) + tokens}
}
