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

// record is the value of the row of a lease.
type record struct {
	// Holder is the name of the holder's VM; it is empty once the lease has been released.
	Holder string `json:"holder"`
	// Nonce distinguishes two tenures of the same holder, such as before and after a restart.
	Nonce string `json:"nonce"`
	// Fencing increases with each change of holder and is kept on release.
	Fencing  uint64          `json:"fencing"`
	Duration config.Duration `json:"duration"`
	// Era is the table's era in which the write was planned. In a row that was read in a later era it
	// shows that writes after this one may be lost.
	Era uint64 `json:"era,omitempty"`
	// Renewed is an upper bound of what the table's own clock showed when this write was sent; 0
	// if it is not known.
	Renewed config.Duration `json:"renewed,omitempty"`
}

func (r record) free() bool { return r.Holder == "" }

func (r record) ttl() time.Duration { return time.Duration(r.Duration) }

// fencingEraShift is the number of bits of a fencing number below the era: the first number of an era is
// higher than any that was given out in the era before, of which the table may have lost the last ones.
const fencingEraShift = 16

// nextFencing returns the fencing number of the next holder in an era.
func (r record) nextFencing(era uint64) uint64 { return max(r.Fencing, era<<fencingEraShift) + 1 }

// ageAt returns a lower bound of the time for which the lease had not been renewed when its row
// was read, on the table's own clock; 0 if it is not known.
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

// unreadableRecord returns the record for a row that cannot be decoded. Another VM may hold the
// lease, so it is taken only once the row has not changed for the duration of a lease. Without
// this record no VM could ever hold the lease again. The revision is higher than every earlier
// fencing number, since each of those took a transaction.
func unreadableRecord(row platform.Row, last record) record {
	return record{Holder: "unreadable", Nonce: row.TxnID, Fencing: max(last.Fencing, row.Revision)}
}

func (r record) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // strings, a number and a duration always encode
	}
	return value
}
