package adminapi

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/kataras/iris/v12"
)

// expectedRevision returns the revision that the caller has read, from If-Match, or 0
// to create the entity. A change without such a condition could overwrite a revision
// that its author has not seen.
func expectedRevision(ctx iris.Context, mayCreate bool) (uint64, *Problem) {
	match := ctx.GetHeader("If-Match")
	create := ctx.GetHeader("If-None-Match") == "*"
	switch {
	case match != "" && create:
		return 0, badRequest("Send If-Match or If-None-Match, not both.")
	case match != "":
		return parseETag(match)
	case create && mayCreate:
		return 0, nil
	}
	return 0, &Problem{
		Status: http.StatusPreconditionRequired,
		Code:   CodePreconditionRequired,
		Title:  "A precondition is needed",
		Detail: "Send the ETag that you have read as If-Match, or If-None-Match: * to create.",
	}
}

// parseETag returns the revision in a single strong ETag.
func parseETag(tag string) (uint64, *Problem) {
	unquoted, ok := strings.CutPrefix(tag, `"`)
	unquoted, closed := strings.CutSuffix(unquoted, `"`)
	revision, err := strconv.ParseUint(unquoted, 10, 64)
	if !ok || !closed || err != nil || revision == 0 {
		return 0, badRequest("If-Match takes one ETag as it was read, such as \"42\".")
	}
	return revision, nil
}
