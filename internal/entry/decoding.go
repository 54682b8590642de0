package entry

import (
	"runtime/debug"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/relay"
)

// withoutPanics returns the wiring with decoders that fail where they would panic. All VMs read the
// same rows and read them again after a restart: a row that ends one process ends all of them.
func withoutPanics(w Adapter) Adapter {
	decodeConfig, decodeReplica := w.DecodeConfig, w.DecodeReplica
	w.DecodeConfig = func(rows map[string][]byte) (*relay.Config, error) {
		return recovered(func() (*relay.Config, error) { return decodeConfig(rows) })
	}
	w.DecodeReplica = func(id string, row []byte) (relay.Replica, error) {
		return recovered(func() (relay.Replica, error) { return decodeReplica(id, row) })
	}
	return w
}

// recovered returns what decode returns, or an error if it panics.
func recovered[T any](decode func() (T, error)) (value T, err error) {
	defer func() {
		if panicked := recover(); panicked != nil {
			err = errors.Newf("the decoder panicked: %v\n%s", panicked, debug.Stack())
		}
	}()
	return decode()
}
