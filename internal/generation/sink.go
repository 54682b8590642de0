package generation

// Sink takes the answer's tokens in order, each once. An error means that the
// caller is gone and ends the run.
type Sink interface {
	Token(position int, text string) error
}
