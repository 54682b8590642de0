package mirror

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/platform"
)

// maxChangeBytes bounds a change after decompression. The largest table, of 20,000 replicas, is some
// 8 MB.
const maxChangeBytes = 32 << 20

// errLargeChange reports a change that unpacks to more than maxChangeBytes.
var errLargeChange = errors.New("the change is larger than the bound")

// pack encodes and compresses a change for peers. A configuration of 1,770 profiles is half a
// megabyte, and a twelfth of that compressed; uncompressed, 80 VMs that fetched it from eight
// others over 20 Mbit/s links had it up to 5 s after it was accepted.
func pack(change platform.TableChange) ([]byte, error) {
	var packed bytes.Buffer
	w, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "change not packed")
	}
	if err := json.NewEncoder(w).Encode(change); err != nil {
		return nil, errors.Wrap(err, "change not packed")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "change not packed")
	}
	return packed.Bytes(), nil
}

// unpack decodes what pack encoded.
func unpack(packed []byte) (platform.TableChange, error) {
	var change platform.TableChange
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return change, errors.Wrap(err, "change not unpacked")
	}
	limited := &io.LimitedReader{R: r, N: maxChangeBytes + 1}
	err = json.NewDecoder(limited).Decode(&change)
	if limited.N <= 0 {
		return platform.TableChange{}, errLargeChange
	}
	return change, errors.Wrap(err, "change not unpacked")
}
