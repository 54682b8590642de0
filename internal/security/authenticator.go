package security

// Authenticator checks operators' tokens against a tokens file and follows changes of the
// file. It is safe for concurrent use.
type Authenticator struct{ tokens *reloading[Tokens] }

// NewAuthenticator loads the tokens file and reloads it on changes until Close. The error
// is a *FindingsError.
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

// Authenticate returns the author and role of the token. ok is false if the token is not in
// the file.
func (a *Authenticator) Authenticate(token string) (author string, role Role, ok bool) {
	return a.tokens.get().Authenticate(token)
}

// Close stops watching the file. The loaded tokens stay valid.
func (a *Authenticator) Close() { a.tokens.close() }
