package entry

import (
	"go.uber.org/zap"
)

// maxUnusableLines bounds the log lines about entries for one change of the table. Otherwise
// a writer of invalid rows could fill the log.
const maxUnusableLines = 20

// unusableEntries holds the discovery entries that can't be used, with the reason for each. An
// entry is logged when it becomes unusable and when it is usable again or deleted.
type unusableEntries struct {
	logger  *zap.Logger
	reasons map[string]error
	// total counts the entries that became unusable since the start.
	total uint64
}

func newUnusableEntries(logger *zap.Logger) unusableEntries {
	return unusableEntries{logger: logger, reasons: map[string]error{}}
}

// replace sets the entries that can't be used now, by id. Cause is a log field with the revision
// or configuration version that led to the change.
func (u *unusableEntries) replace(reasons map[string]error, cause zap.Field) {
	lines := 0
	for id, err := range reasons {
		if _, known := u.reasons[id]; known {
			continue
		}
		u.total++
		if lines++; lines <= maxUnusableLines {
			field, found := entryFault(err)
			u.logger.Warn("entry names no replica to use", zap.String("replica", shortID(id)), zap.String("field", field),
				zap.String("found", found), cause, zap.Error(err))
		}
	}
	for id := range u.reasons {
		if _, unusable := reasons[id]; unusable {
			continue
		}
		if lines++; lines <= maxUnusableLines {
			u.logger.Info("entry is usable again, or gone", zap.String("replica", shortID(id)), cause)
		}
	}
	if lines > maxUnusableLines {
		u.logger.Warn("more entries became usable or unusable", zap.Int("entries", lines-maxUnusableLines), zap.Int("unusable", len(reasons)))
	}
	u.reasons = reasons
}

// dump returns the reasons for at most maxUnusableLines entries, by id.
func (u *unusableEntries) dump() map[string]string {
	dump := make(map[string]string, min(len(u.reasons), maxUnusableLines))
	for id, err := range u.reasons {
		if len(dump) == maxUnusableLines {
			break
		}
		dump[shortID(id)] = err.Error()
	}
	return dump
}

// shortID truncates an id for logs and errors; any writer may have chosen it.
func shortID(id string) string {
	const maxLength = 60
	if len(id) > maxLength {
		return id[:maxLength] + "..."
	}
	return id
}
