package outcome

import (
	"errors"
	"go/ast"
	"go/parser"
	"go/token"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// A result that nobody filled in must not tell a caller that its request did not
// run: the caller would send it again, and it might run twice.
func TestZeroOutcomeClaimsLeast(t *testing.T) {
	Convey("The zero outcome, and one that has no name, are unknown", t, func() {
		var zero Outcome
		So(zero, ShouldEqual, Unknown)
		So(zero.String(), ShouldEqual, "unknown")
		So(Outcome(99).String(), ShouldEqual, "unknown")
	})

	Convey("The others have their names", t, func() {
		So(NotRun.String(), ShouldEqual, "not-run")
		So(Complete.String(), ShouldEqual, "complete")
	})
}

// A reason without a status of its own would reach callers as a 500, which client
// libraries retry.
func TestEachReasonHasAStatus(t *testing.T) {
	for _, reason := range reasons(t) {
		if _, ok := statusOf[reason]; !ok {
			t.Errorf("%s has no status", reason)
		}
	}
	if status := Reason("new").Status(); status != 500 {
		t.Errorf("a reason that is not listed has the status %d", status)
	}
}

// reasons reads the constants from the source, as the compiler keeps no list.
func reasons(t *testing.T) (found []Reason) {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "reason.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if of, ok := spec.Type.(*ast.Ident); ok && of.Name == "Reason" {
			text, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
			if err != nil {
				t.Fatal(err)
			}
			found = append(found, Reason(text))
		}
		return true
	})
	if len(found) != len(statusOf) {
		t.Errorf("%d reasons, and %d with a status", len(found), len(statusOf))
	}
	return found
}

func TestFailureIsNotChangedByItsCopies(t *testing.T) {
	Convey("Given a refusal", t, func() {
		refused := Refuse(ReasonOverloaded, "full")
		cause := errors.New("cause")
		later := refused.WithRetryAfter(time.Second).WithCause(cause)

		Convey("a copy has what was added, and the refusal has not", func() {
			So(later.RetryAfter, ShouldEqual, time.Second)
			So(errors.Is(later, cause), ShouldBeTrue)
			So(later.Outcome, ShouldEqual, NotRun)
			So(refused.RetryAfter, ShouldEqual, 0)
			So(refused.Cause, ShouldBeNil)
		})
	})
}
