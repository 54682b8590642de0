package transport

import "context"

type labelKey struct{}

// WithLabel returns a context whose connection attempts are logged with a label, the id of the request
// that they are for.
func WithLabel(ctx context.Context, label string) context.Context {
	return context.WithValue(ctx, labelKey{}, label)
}

// Label returns the label of a context, "" if it has none.
func Label(ctx context.Context) string {
	label, _ := ctx.Value(labelKey{}).(string)
	return label
}
