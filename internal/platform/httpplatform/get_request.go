package httpplatform

// GetRequest is the body of PathGet.
type GetRequest struct {
	Keys []string `json:"keys"`
}
