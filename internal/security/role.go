package security

// Role is what an operator may do.
type Role string

const (
	// RoleRead may look at everything and change nothing.
	RoleRead Role = "read"
	// RoleOperate may change profiles and targets as well.
	RoleOperate Role = "operate"
)

// Allows reports whether the role may do what needs the other one.
func (r Role) Allows(needed Role) bool {
	switch r {
	case RoleOperate:
		return needed == RoleOperate || needed == RoleRead
	case RoleRead:
		return needed == RoleRead
	}
	return false
}
