package admincmd

import "net/url"

// request is one request of the admin API.
type request struct {
	method string
	path   string
	query  url.Values
	header map[string]string
	body   []byte
}
