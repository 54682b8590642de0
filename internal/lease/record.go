package lease

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/platform"
)

const keyPrefix = "lease/"

func keyOf(duty string) string { return keyPrefix + duty }

// record is the value of a lease's row.
type record struct {
	// Holder is empty once the lease was released.
	Holder string `json:"holder"`
	// Nonce tells two tenures of one holder apart, such as before and after a restart.
	Nonce string `json:"nonce"`
	// Fencing rises with each change of holder and stays on release.
	Fencing  uint64          `json:"fencing"`
	Duration config.Duration `json:"duration"`
	// Renewed is what the table's own clock showed at most when this write was sent, 0 if that
	// isn't known.
	Renewed config.Duration `json:"renewed,omitempty"`
}

func (r record) free() bool { return r.Holder == "" }

func (r record) ttl() time.Duration { return time.Duration(r.Duration) }

// ageAt returns for how long at least the lease had not been renewed when its row was read, by
// the table's own clock; 0 if that isn't known.
func (r record) ageAt(readAt time.Duration) time.Duration {
	if r.Renewed <= 0 || readAt <= 0 {
		return 0
	}
	return max(0, readAt-time.Duration(r.Renewed))
}

func decode(row platform.Row) (record, error) {
	var r record
	if row.Revision == 0 {
		return r, nil
	}
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return r, errors.Wrapf(err, "row %s", row.Key)
	}
	return r, nil
}

// unreadable is what a row that can't be read says: somebody may hold the lease, so it is
// taken once the row has stood for the time of a lease. Without that nobody would ever hold
// it again. A revision is above every fencing number before it, as each took a transaction.
func unreadable(row platform.Row, last record) record {
	return record{Holder: "unreadable", Nonce: row.TxnID, Fencing: max(last.Fencing, row.Revision)}
}

func (r record) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // strings, a number and a duration always encode
	}
	return value
}
