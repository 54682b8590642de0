package adminapi

import (
	"context"
	"net/http"
	"strings"
)

const bearerPrefix = "Bearer "

// authorKey is the context key of the author's name.
type authorKey struct{}

// authenticate returns the request with its author in the context, or the problem to
// answer with. The problem says what is missing and never includes the token.
func (a *API) authenticate(r *http.Request) (*http.Request, *Problem) {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !found || token == "" {
		return nil, unauthorized("Send the operator's token as \"Authorization: Bearer TOKEN\".")
	}
	author, role, ok := a.options.Authenticator.Authenticate(token)
	if !ok {
		return nil, unauthorized("The token is not known to this VM.")
	}
	if required := requiredRole(r.Method); !role.Allows(required) {
		return nil, &Problem{
			Status: http.StatusForbidden,
			Code:   CodeForbidden,
			Title:  "Not allowed",
			Detail: author + " has the role " + string(role) + "; " + r.Method + " needs the role " + string(required) + ".",
		}
	}
	return r.WithContext(context.WithValue(r.Context(), authorKey{}, author)), nil
}

// requiredRole returns the role that a request with the method needs.
func requiredRole(method string) Role {
	if method == http.MethodGet || method == http.MethodHead {
		return RoleRead
	}
	return RoleOperate
}

func unauthorized(detail string) *Problem {
	return &Problem{Status: http.StatusUnauthorized, Code: CodeUnauthorized, Title: "A token is needed", Detail: detail}
}

// authorOf returns the author's name from a request's context.
func authorOf(ctx context.Context) string {
	author, _ := ctx.Value(authorKey{}).(string)
	return author
}
