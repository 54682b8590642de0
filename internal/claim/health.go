package claim

import (
	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/platform"
)

// errTableUnavailable is the cause of a failed write while the table is known to be
// unavailable.
var errTableUnavailable = errors.New("table is unavailable")

// healthReporter is implemented by tables that detect whether they are available.
type healthReporter interface {
	Healthy() bool
}

// healthy reports whether the table is available, as far as that is known. It lets a
// claim fail immediately instead of waiting behind groups that were sent before the
// outage was detected.
func healthy(table platform.Table) bool {
	reporter, ok := table.(healthReporter)
	return !ok || reporter.Healthy()
}
