package follow

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"geraniumcroft/internal/platform"
)

// A peer asks for changes from any earlier revision. The change must make its copy equal to the
// sender's.
func TestChangesMakeCopiesEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h history
		views := []platform.TableView{{Version: platform.Version{Revision: 1}, Rows: map[string][]byte{}}}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			last := views[len(views)-1]
			next := platform.TableView{Version: platform.Version{Revision: last.Revision + uint64(rapid.IntRange(1, 5).Draw(t, "by"))}, Rows: maps.Clone(last.Rows)}
			for range rapid.IntRange(1, 3).Draw(t, "rows") {
				key := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "key"))
				if rapid.Bool().Draw(t, "delete") {
					delete(next.Rows, key)
				} else {
					next.Rows[key] = []byte(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "value")))
				}
			}
			h.add(last, next)
			views = append(views, next)
		}
		newest := views[len(views)-1]
		behind := views[rapid.IntRange(0, len(views)-1).Draw(t, "behind")]
		got := behind.Apply(h.since(newest, behind.Version))
		same := maps.EqualFunc(got.Rows, newest.Rows, func(a, b []byte) bool { return string(a) == string(b) })
		if got.Revision != newest.Revision || !same {
			t.Fatalf("%v from revision %d, want %v", got, behind.Revision, newest)
		}
	})
}
