package adminapi

// Role says what an operator may do.
type Role string

const (
	// RoleRead may read everything.
	RoleRead Role = "read"
	// RoleOperate may change the configuration as well.
	RoleOperate Role = "operate"
)
