package layers

import "github.com/cockroachdb/errors"

var (
	// ErrNoPath means that no replica holds some layer. Waiting for capacity does not help.
	ErrNoPath = errors.New("no path covers every layer")
	// ErrNoCapacity means that the replicas that hold the layers are full. A request may wait.
	ErrNoCapacity = errors.New("no path has room")
	// ErrNotInTime is an ErrNoCapacity: a request would be late on the paths that there are, and late
	// requests may not use that much of the replicas.
	ErrNotInTime = errors.Wrap(ErrNoCapacity, "no path in time")
	// ErrNoSpareEntry means that fewer replicas at which a path can begin would remain than
	// Query.SpareEntries asks for, if the one at which this path begins failed. It may last
	// until a lost replica is replaced.
	ErrNoSpareEntry = errors.New("too few replicas are left that a path can begin at")
)
