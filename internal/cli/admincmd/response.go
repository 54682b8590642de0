package admincmd

import (
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
)

// response is a response of the admin API, read to its end or to maxResponseBytes.
type response struct {
	status int
	header http.Header
	body   []byte
}

func (r response) decode(into any) error {
	return errors.Wrap(json.Unmarshal(r.body, into), "the VM's answer")
}
