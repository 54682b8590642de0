package adminapi

// Role says what an operator may do.
type Role string

const (
	// RoleRead may read everything.
	RoleRead Role = "read"
	// RoleOperate may change the configuration as well.
	RoleOperate Role = "operate"
)

// Authenticator knows the operators' tokens.
type Authenticator interface {
	// Authenticate returns the author's name and role for a token, compared in
	// constant time.
	Authenticate(token string) (author string, role Role, ok bool)
}
