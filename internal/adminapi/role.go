package adminapi

import "geraniumcroft/internal/security"

// Role defines what an operator may do.
type Role = security.Role

// Roles of operators.
const (
	RoleRead    = security.RoleRead
	RoleOperate = security.RoleOperate
)
