package layers

import "github.com/cockroachdb/errors"

var (
	// ErrNoPath means that some layer is held by no replica; waiting for room is no use.
	ErrNoPath = errors.New("no path covers every layer")
	// ErrNoRoom means that the replicas that hold the layers are full; a request may wait.
	ErrNoRoom = errors.New("no path has room")
	// ErrNoSpareEntry means that too few replicas are left that a path can begin at, as
	// Need.SpareEntries asks for. Waiting may take until one of them is replaced.
	ErrNoSpareEntry = errors.New("too few replicas are left that a path can begin at")
)
