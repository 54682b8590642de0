package httpplatform

// Problem is the response body of a failed request.
type Problem struct {
	Code   string `json:"code"`
	Detail string `json:"detail"`
}
