package adminapi

// Authenticator knows the operators' tokens.
type Authenticator interface {
	// Authenticate returns the author's name and role for a token, compared in
	// constant time.
	Authenticate(token string) (author string, role Role, ok bool)
}
