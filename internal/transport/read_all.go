package transport

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// ReadAll reads a body of at most limit bytes. The error is ErrTooLarge if there are more: a body that was cut
// must not be taken for one that can't be parsed.
func ReadAll(body io.ReadCloser, limit int64) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(nil, body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, ErrTooLarge
	}
	return data, err
}
