package confstore

import (
	"encoding/json"
	"fmt"
	"testing"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/platform"
)

// Guards against a change that is reported as unknown because more rows than a bounded search reads come
// before it.
func TestChangeIsFoundInALongHistory(t *testing.T) {
	const changes = 8_200
	f := newFixture(t)
	for version := uint64(1); version <= changes; version++ {
		row, err := json.Marshal(config.Change{Version: version, ID: fmt.Sprint("change-", version)})
		if err != nil {
			t.Fatal(err)
		}
		key := changeKey(version)
		f.table.rows[key] = platform.Row{Key: key, Value: row, Revision: version}
	}
	got, err := f.store("vm-1").Lookup(t.Context(), fmt.Sprint("change-", changes))
	if err != nil || got.Version != changes {
		t.Errorf("version %d, error %v", got.Version, err)
	}
}
