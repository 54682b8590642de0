package admincmd

import (
	"net/http"

	"github.com/google/subcommands"

	"geraniumcroft/internal/adminapi"
)

// fail prints a problem with all its findings and returns the exit code.
func (s *session) fail(r reply) subcommands.ExitStatus {
	var problem adminapi.Problem
	if err := r.decode(&problem); err != nil || problem.Title == "" {
		s.complain("the VM answered %d %s", r.status, http.StatusText(r.status))
		return exitFailed
	}
	s.printProblem(r, problem)
	if r.status == http.StatusPreconditionFailed || r.status == http.StatusConflict {
		return exitConflict
	}
	return exitFailed
}

func (s *session) printProblem(r reply, problem adminapi.Problem) {
	if s.json {
		s.printJSON(r.body)
		return
	}
	if len(problem.Findings) == 0 {
		s.complain("%s: %s", problem.Title, problem.Detail)
	}
	for _, finding := range problem.Findings {
		s.complain("%s", finding)
	}
	if len(problem.Current) > 0 {
		s.complain("present revision %d: %s", problem.Revision, problem.Current)
	}
}

// failSend reports that no answer came at all.
func (s *session) failSend(err error) subcommands.ExitStatus {
	s.complain("no answer from %s: %v", s.admin, err)
	return exitFailed
}
