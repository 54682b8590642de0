package entry

import (
	"runtime/debug"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/relay"
)

// withPanicsAsErrors returns the adapter with decoders that return an error instead of a panic.
// All VMs read the same rows and read them again after a restart, so a row that panics in one
// process would crash all of them, again and again.
func withPanicsAsErrors(a Adapter) Adapter {
	decodeConfig, decodeReplica := a.DecodeConfig, a.DecodeReplica
	a.DecodeConfig = func(rows map[string][]byte) (*relay.Config, error) {
		return catchPanic(func() (*relay.Config, error) { return decodeConfig(rows) })
	}
	a.DecodeReplica = func(id string, row []byte) (relay.Replica, error) {
		return catchPanic(func() (relay.Replica, error) { return decodeReplica(id, row) })
	}
	return a
}

// catchPanic returns the result of decode, or an error with the stack if it panics.
func catchPanic[T any](decode func() (T, error)) (value T, err error) {
	defer func() {
		if panicked := recover(); panicked != nil {
			err = errors.Newf("the decoder panicked: %v\n%s", panicked, debug.Stack())
		}
	}()
	return decode()
}
