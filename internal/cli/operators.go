package cli

import (
	"geraniumcroft/internal/adminapi"
	"geraniumcroft/internal/security"
)

// operators lets the admin API ask package security.
type operators struct {
	*security.Authenticator
}

// Authenticate implements adminapi.Authenticator.
func (o operators) Authenticate(token string) (string, adminapi.Role, bool) {
	author, role, ok := o.Authenticator.Authenticate(token)
	return author, adminapi.Role(role), ok
}
