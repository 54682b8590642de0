package claim

import (
	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/platform"
)

// errTableOut is the cause when the table is known to be out.
var errTableOut = errors.New("the table is out")

// healthReporter is implemented by tables that know whether they are up.
type healthReporter interface {
	Healthy() bool
}

// healthy lets a claim fail at once instead of waiting behind groups that were sent
// before the table was known to be out.
func healthy(table platform.Table) bool {
	reporter, ok := table.(healthReporter)
	return !ok || reporter.Healthy()
}
