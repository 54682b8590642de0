package relay

import (
	"io"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/invariant"
)

const layersOnce = invariant.LayersOnceInOrder

// isEnd reports whether a stream ended where its replica ended it.
func isEnd(err error) bool { return errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) }
