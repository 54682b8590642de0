package invariant

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRegistry(t *testing.T) {
	Convey("Given a registry with a handler", t, func() {
		var handled []Violation
		r := NewRegistry(func(v Violation) { handled = append(handled, v) })

		Convey("an invariant that holds is neither counted nor handled", func() {
			So(r.Check(true, OneOutcome, "never formatted"), ShouldBeTrue)
			So(r.Total(), ShouldEqual, 0)
			So(handled, ShouldBeEmpty)
		})

		Convey("a violation is counted under its name, kept and handled", func() {
			So(r.Check(false, OneOutcome, "request %s", "r1"), ShouldBeFalse)
			So(r.Total(), ShouldEqual, 1)
			So(r.Report().Counts[OneOutcome], ShouldEqual, 1)
			So(r.Report().Recent, ShouldHaveLength, 1)
			So(handled, ShouldHaveLength, 1)
			So(handled[0].Detail, ShouldEqual, "request r1")
		})

		Convey("the report lists all invariants, including those that hold", func() {
			So(r.Report().Counts, ShouldHaveLength, len(All))
			So(r.Report().Counts, ShouldContainKey, FencingNeverFalls)
		})

		Convey("only the most recent violations are kept", func() {
			for i := range 2 * maxRecent {
				r.Check(false, OneDispatch, "%d", i)
			}
			recent := r.Report().Recent
			So(r.Total(), ShouldEqual, 2*maxRecent)
			So(recent, ShouldHaveLength, maxRecent)
			So(recent[maxRecent-1].Detail, ShouldEqual, fmt.Sprint(2*maxRecent-1))
		})
	})
}

// A test that violates an invariant must fail, even if it does not check the registry.
func TestViolationPanicsInTests(t *testing.T) {
	for name, r := range map[string]*Registry{"strict": Strict(), "none": nil} {
		Convey("A violation panics with this registry: "+name, t, func() {
			So(func() { r.Check(false, LayersOnceInOrder, "layer %d twice", 3) }, ShouldPanic)
			So(func() { r.Check(true, LayersOnceInOrder, "") }, ShouldNotPanic)
		})
	}
}
