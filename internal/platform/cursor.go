package platform

// Cursor says what a copy of a table holds.
type Cursor struct {
	Version
	// Content is the writer's own version of the content, 0 for tables without one. It orders
	// contents over the store's eras: an older copy of the store holds a lower one at a later version.
	Content uint64 `json:"content,omitempty"`
}

// Lacks reports whether a copy at c lacks something that one at other has.
func (c Cursor) Lacks(other Cursor) bool {
	return other.Content > c.Content || other.After(c.Version)
}
