package api

import "geraniumcroft/internal/router"

// generationResponse is the body of a response that is not streamed, in OpenAI's
// format.
type generationResponse struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []generationChoice `json:"choices"`
	Usage   usage              `json:"usage"`
}

// generationChoice has a message for a chat completion and a text for a plain one.
type generationChoice struct {
	Index        int                `json:"index"`
	Message      *generationMessage `json:"message,omitempty"`
	Text         *string            `json:"text,omitempty"`
	Logprobs     *struct{}          `json:"logprobs"`
	FinishReason string             `json:"finish_reason"`
}

// generationMessage is the message that the model generated.
type generationMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// response returns the response body for the generated text.
func (g *generation) response(text string, result router.GenerateResult) generationResponse {
	choice := generationChoice{FinishReason: result.Finish}
	if g.format.object == chatFormat.object {
		choice.Message = &generationMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	return generationResponse{
		ID:      g.format.idPrefix + g.RequestID,
		Object:  g.format.object,
		Created: g.created.Unix(),
		Model:   g.Profile,
		Choices: []generationChoice{choice},
		Usage:   g.usage(result.Tokens),
	}
}
