package security

// Role is the set of permissions of an operator.
type Role string

const (
	// RoleRead permits reading everything and changing nothing.
	RoleRead Role = "read"
	// RoleOperate permits changing profiles and targets as well.
	RoleOperate Role = "operate"
)

// Allows reports whether r includes the permissions of the needed role.
func (r Role) Allows(needed Role) bool {
	switch r {
	case RoleOperate:
		return needed == RoleOperate || needed == RoleRead
	case RoleRead:
		return needed == RoleRead
	}
	return false
}
