package adminapi

import (
	"context"
	"net/http"
	"strings"
)

const bearer = "Bearer "

type authorKey struct{}

// authenticate returns the request with its author, or the refusal. The refusal
// says what is missing and never repeats the token.
func (a *API) authenticate(r *http.Request) (*http.Request, *Problem) {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
	if !found || token == "" {
		return nil, unauthorized("Send the operator's token as \"Authorization: Bearer TOKEN\".")
	}
	author, role, ok := a.options.Authenticator.Authenticate(token)
	if !ok {
		return nil, unauthorized("The token is not known to this VM.")
	}
	if needed := neededRole(r.Method); !role.Allows(needed) {
		return nil, &Problem{
			Status: http.StatusForbidden,
			Code:   CodeForbidden,
			Title:  "Not allowed",
			Detail: author + " has the role " + string(role) + "; " + r.Method + " needs the role " + string(needed) + ".",
		}
	}
	return r.WithContext(context.WithValue(r.Context(), authorKey{}, author)), nil
}

func neededRole(method string) Role {
	if method == http.MethodGet || method == http.MethodHead {
		return RoleRead
	}
	return RoleOperate
}

func unauthorized(detail string) *Problem {
	return &Problem{Status: http.StatusUnauthorized, Code: CodeUnauthorized, Title: "A token is needed", Detail: detail}
}

func authorOf(ctx context.Context) string {
	author, _ := ctx.Value(authorKey{}).(string)
	return author
}
