package admincmd

import (
	"context"
	"net/http"
	"net/url"

	"github.com/google/subcommands"
)

// get returns the response to a GET request of the path. If the exit code is not exitDone, the
// path could not be read and the reason has been printed.
func (s *session) get(ctx context.Context, path string, query url.Values) (response, subcommands.ExitStatus) {
	r, err := s.do(ctx, request{method: http.MethodGet, path: path, query: query})
	if err != nil {
		return response{}, s.reportNoResponse(err)
	}
	if r.status != http.StatusOK {
		return response{}, s.reportFailure(r)
	}
	return r, exitDone
}

// show prints the response to a GET request of the path as JSON.
func (s *session) show(ctx context.Context, path string, query url.Values) subcommands.ExitStatus {
	r, exit := s.get(ctx, path, query)
	if exit == exitDone {
		s.printJSON(r.body)
	}
	return exit
}
