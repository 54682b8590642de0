package entry

import (
	"bytes"
	"maps"

	"geraniumcroft/internal/relay"
)

// decodedConfig is the result of decoding the rows of the operator's table. It is kept, as the version
// of the configuration is needed before the configuration is put in force, and decoding 1,770 profiles
// takes 10 ms.
type decodedConfig struct {
	rows   map[string][]byte
	config *relay.Config
	err    error
}

// decodeConfig decodes rows, unless they are those that were decoded last. Only the follower of the
// operator's table calls it, one call at a time.
func (v *view) decodeConfig(rows map[string][]byte) (*relay.Config, error) {
	if v.decoded.rows == nil || !sameRows(v.decoded.rows, rows) {
		next, err := v.adapter.DecodeConfig(rows)
		if next != nil && v.overloadControl {
			next.EnableOverloadControl()
		}
		v.decoded = decodedConfig{rows: rows, config: next, err: err}
	}
	return v.decoded.config, v.decoded.err
}

func sameRows(a, b map[string][]byte) bool { return maps.EqualFunc(a, b, bytes.Equal) }

// contentVersion returns the operator's version of the configuration in rows. Ok is false if there is
// none or it can't be decoded: one that can't be put in force must not keep others out.
func (v *view) contentVersion(rows map[string][]byte) (version uint64, ok bool) {
	next, err := v.decodeConfig(rows)
	if err != nil || next == nil {
		return 0, false
	}
	return next.Version, true
}
