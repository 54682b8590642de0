package admincmd

import "net/url"

// request is a request to the admin API. Its path is relative to the root of the API.
type request struct {
	method string
	path   string
	query  url.Values
	header map[string]string
	body   []byte
}
