package admincmd

import (
	"net/http"

	"github.com/google/subcommands"

	"geraniumcroft/internal/adminapi"
)

// reportFailure prints the problem in a response, with all its findings. It returns exitConflict
// if the change conflicts with another one, and else exitFailed.
func (s *session) reportFailure(r response) subcommands.ExitStatus {
	var problem adminapi.Problem
	if err := r.decode(&problem); err != nil || problem.Title == "" {
		s.printErrorf("the VM answered %d %s", r.status, http.StatusText(r.status))
		return exitFailed
	}
	s.printProblem(r, problem)
	if r.status == http.StatusPreconditionFailed || r.status == http.StatusConflict {
		return exitConflict
	}
	return exitFailed
}

func (s *session) printProblem(r response, problem adminapi.Problem) {
	if s.json {
		s.printJSON(r.body)
		return
	}
	if len(problem.Findings) == 0 {
		s.printErrorf("%s: %s", problem.Title, problem.Detail)
	}
	for _, finding := range problem.Findings {
		s.printErrorf("%s", finding)
	}
	if len(problem.Current) > 0 {
		s.printErrorf("present revision %d: %s", problem.Revision, problem.Current)
	}
}

// reportNoResponse prints why a request got no response, and returns the exit code.
func (s *session) reportNoResponse(err error) subcommands.ExitStatus {
	s.printErrorf("no answer from %s: %v", s.admin, err)
	return exitFailed
}
