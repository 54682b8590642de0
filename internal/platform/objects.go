package platform

import "context"

// Objects is the object store service.
type Objects interface {
	// Put stores an object under a name. It replaces an existing object of that name.
	Put(ctx context.Context, name string, body []byte) error
	// Fetch returns the object, or an error that matches ErrNotFound.
	Fetch(ctx context.Context, name string) ([]byte, error)
}
