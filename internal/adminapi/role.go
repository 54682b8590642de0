package adminapi

import "geraniumcroft/internal/security"

// Role is what an operator may do.
type Role = security.Role

// The roles.
const (
	RoleRead    = security.RoleRead
	RoleOperate = security.RoleOperate
)
