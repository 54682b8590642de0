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

		Convey("what holds is neither counted nor handled", func() {
			So(r.Check(true, OneOutcome, "never formatted"), ShouldBeTrue)
			So(r.Total(), ShouldEqual, 0)
			So(handled, ShouldBeEmpty)
		})

		Convey("a violation is counted by its name, kept and handled", func() {
			So(r.Check(false, OneOutcome, "request %s", "r1"), ShouldBeFalse)
			So(r.Total(), ShouldEqual, 1)
			So(r.Report().Counts[OneOutcome], ShouldEqual, 1)
			So(r.Report().Recent, ShouldHaveLength, 1)
			So(handled, ShouldHaveLength, 1)
			So(handled[0].Detail, ShouldEqual, "request r1")
		})

		Convey("the report has every invariant, those that hold too", func() {
			So(r.Report().Counts, ShouldHaveLength, len(All))
			So(r.Report().Counts, ShouldContainKey, FencingNeverFalls)
		})

		Convey("a flood of violations keeps the newest, within a bound", func() {
			for i := range 2 * keptViolations {
				r.Check(false, OneDispatch, "%d", i)
			}
			recent := r.Report().Recent
			So(r.Total(), ShouldEqual, 2*keptViolations)
			So(recent, ShouldHaveLength, keptViolations)
			So(recent[keptViolations-1].Detail, ShouldEqual, fmt.Sprint(2*keptViolations-1))
		})
	})
}

// A test that violates an invariant must not pass because nobody looked.
func TestViolationIsFatalUnderTest(t *testing.T) {
	for name, r := range map[string]*Registry{"strict": Strict(), "none": nil} {
		Convey("A violation panics in a registry that is "+name, t, func() {
			So(func() { r.Check(false, LayersOnceInOrder, "layer %d twice", 3) }, ShouldPanic)
			So(func() { r.Check(true, LayersOnceInOrder, "") }, ShouldNotPanic)
		})
	}
}
