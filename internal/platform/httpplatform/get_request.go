package httpplatform

// GetRequest is the request body of PathGet.
type GetRequest struct {
	Keys []string `json:"keys"`
}
