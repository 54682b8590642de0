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

// An outcome that was never set must not tell the caller that the request did not
// run: the caller would send the request again, and it might run twice.
func TestZeroOutcomeIsUnknown(t *testing.T) {
	Convey("The zero outcome and an undefined one are unknown", t, func() {
		var zero Outcome
		So(zero, ShouldEqual, Unknown)
		So(zero.String(), ShouldEqual, "unknown")
		So(Outcome(99).String(), ShouldEqual, "unknown")
	})

	Convey("The other outcomes have their own names", t, func() {
		So(NotRun.String(), ShouldEqual, "not-run")
		So(Complete.String(), ShouldEqual, "complete")
	})
}

// A reason without its own status would reach callers as status 500, which client
// libraries retry.
func TestEachReasonHasAStatus(t *testing.T) {
	for _, reason := range reasons(t) {
		if _, ok := statusOf[reason]; !ok {
			t.Errorf("%s has no status", reason)
		}
	}
	if status := Reason("new").Status(); status != 500 {
		t.Errorf("status %d for an undefined reason, want 500", status)
	}
}

// reasons parses the constants from the source, since they cannot be listed at run time.
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
		t.Errorf("%d reasons, but %d statuses", len(found), len(statusOf))
	}
	return found
}

func TestFailureCopiesDoNotChangeTheOriginal(t *testing.T) {
	Convey("Given a refusal", t, func() {
		refused := Refuse(ReasonOverloaded, "full")
		cause := errors.New("cause")
		later := refused.WithRetryAfter(time.Second).WithCause(cause)

		Convey("a copy has the added fields, and the original is unchanged", func() {
			So(later.RetryAfter, ShouldEqual, time.Second)
			So(errors.Is(later, cause), ShouldBeTrue)
			So(later.Outcome, ShouldEqual, NotRun)
			So(refused.RetryAfter, ShouldEqual, 0)
			So(refused.Cause, ShouldBeNil)
		})
	})
}
