package admincmd

import (
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
)

// reply is a whole answer.
type reply struct {
	status int
	header http.Header
	body   []byte
}

func (r reply) decode(into any) error {
	return errors.Wrap(json.Unmarshal(r.body, into), "the VM's answer")
}
