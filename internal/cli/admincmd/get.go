package admincmd

import (
	"context"
	"net/http"
	"net/url"

	"github.com/google/subcommands"
)

// get reads what is at the path. Any exit but exitDone says that it could not be
// read, and the reason is printed.
func (s *session) get(ctx context.Context, path string, query url.Values) (reply, subcommands.ExitStatus) {
	r, err := s.do(ctx, request{method: http.MethodGet, path: path, query: query})
	if err != nil {
		return reply{}, s.failSend(err)
	}
	if r.status != http.StatusOK {
		return reply{}, s.fail(r)
	}
	return r, exitDone
}

// show prints what is at the path as JSON.
func (s *session) show(ctx context.Context, path string, query url.Values) subcommands.ExitStatus {
	r, exit := s.get(ctx, path, query)
	if exit == exitDone {
		s.printJSON(r.body)
	}
	return exit
}
