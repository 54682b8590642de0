package security

// Authenticator checks operators' tokens against a file that may change. It is
// safe for concurrent use.
type Authenticator struct{ tokens *reloading[Tokens] }

// NewAuthenticator reads the tokens file and, until Close, reads it again when it
// changes. The error is a *FindingsError.
func NewAuthenticator(path string, o Options) (*Authenticator, error) {
	load := func() (*Tokens, error) {
		tokens, findings := LoadTokens(path)
		if len(findings) > 0 {
			return nil, &FindingsError{Findings: findings}
		}
		return tokens, nil
	}
	tokens, err := newReloading("tokens", []string{path}, o, load)
	if err != nil {
		return nil, err
	}
	return &Authenticator{tokens: tokens}, nil
}

// Authenticate returns who presents the token.
func (a *Authenticator) Authenticate(token string) (author string, role Role, ok bool) {
	return a.tokens.get().Authenticate(token)
}

// Close ends the watching; the tokens stay in force.
func (a *Authenticator) Close() { a.tokens.close() }
