package api

import "geraniumcroft/internal/router"

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
