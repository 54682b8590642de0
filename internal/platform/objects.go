package platform

import "context"

// Objects is the object store.
type Objects interface {
	// Put stores an object under a name; an existing one is replaced.
	Put(ctx context.Context, name string, body []byte) error
	// Fetch returns the object, or an error marked ErrNotFound.
	Fetch(ctx context.Context, name string) ([]byte, error)
}
