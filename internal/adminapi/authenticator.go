package adminapi

// Authenticator checks the operators' tokens.
type Authenticator interface {
	// Authenticate returns the name and role of the token's operator. It compares
	// tokens in constant time. ok is false for an unknown token.
	Authenticate(token string) (author string, role Role, ok bool)
}
