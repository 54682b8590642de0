package generation

// Sink receives the tokens of the response in order, each once. An error means that
// the caller has left, and ends the run.
type Sink interface {
	Token(position int, text string) error
}
