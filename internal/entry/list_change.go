package entry

import (
	"slices"

	"go.uber.org/zap"

	"geraniumcroft/internal/relay"
)

// maxNamed bounds how many replicas one line names of each kind, so that it stays below 4 KB
// also when all of a large fleet's replicas come at once. The dump has them all.
const maxNamed = 20

// listChange is what one change of discovery's table did to the listing, by "id@start".
// One line tells of it: a line for each replica was nine tenths of what 195 VMs wrote in the
// first 21 s of a calm day (66,277 of 72,000 lines, 216 replicas).
type listChange struct {
	came, gone, drained, moved, other []string
}

// note adds what happened to a replica that is listed now.
func (c *listChange) note(was relay.Replica, known bool, now relay.Replica) {
	name := now.Key().String()
	switch {
	case !known || was.Key() != now.Key():
		c.came = append(c.came, name)
	case now.Draining && !was.Draining:
		c.drained = append(c.drained, name)
	case was.Held != now.Held:
		c.moved = append(c.moved, name+" "+now.Held.String())
	default:
		c.other = append(c.other, name)
	}
}

func (c *listChange) empty() bool {
	return len(c.came)+len(c.gone)+len(c.drained)+len(c.moved)+len(c.other) == 0
}

// log writes the line: for each kind of change how many replicas, and the first of them.
func (c *listChange) log(logger *zap.Logger, listed int, revision uint64) {
	if c.empty() {
		return
	}
	fields := []zap.Field{zap.Uint64("revision", revision), zap.Int("listed", listed)}
	for _, kind := range []struct {
		name     string
		replicas []string
	}{{"came", c.came}, {"gone", c.gone}, {"draining", c.drained}, {"layersChanged", c.moved}, {"changed", c.other}} {
		if len(kind.replicas) == 0 {
			continue
		}
		slices.Sort(kind.replicas)
		named := kind.replicas[:min(maxNamed, len(kind.replicas))]
		fields = append(fields, zap.Strings(kind.name, named))
		if more := len(kind.replicas) - len(named); more > 0 {
			fields = append(fields, zap.Int(kind.name+"NotNamed", more))
		}
	}
	logger.Info("list of replicas changed", fields...)
}
