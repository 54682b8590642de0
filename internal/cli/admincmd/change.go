package admincmd

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/google/uuid"

	"geraniumcroft/internal/adminapi"
	"geraniumcroft/internal/sleep"
)

// lookupInterval is the time between two lookups of a change that may or may not have been written.
const lookupInterval = 500 * time.Millisecond

// change sends a change under a new id and waits for at most s.wait until it is in force
// everywhere.
func (s *session) change(ctx context.Context, r request) subcommands.ExitStatus {
	if r.header == nil {
		r.header = map[string]string{}
	}
	id := uuid.NewString()
	r.header["Idempotency-Key"] = id
	until := time.Now().Add(s.wait)
	r.query = waitQuery(s.wait)
	got, err := s.do(ctx, r)
	if err != nil {
		s.printErrorf("the change's id is %s", id)
		return s.reportNoResponse(err)
	}
	if got.status != http.StatusOK && got.status != http.StatusAccepted {
		return s.reportFailure(got)
	}
	return s.awaitChange(ctx, got, until)
}

// waitQuery returns the query that makes the VM wait until a change is in force everywhere, for
// at most wait and at most the time that the API allows.
func waitQuery(wait time.Duration) url.Values {
	wait = max(0, min(wait, adminapi.MaxWait))
	return url.Values{"wait": {wait.String()}}
}

// awaitChange waits until a committed change is in force everywhere, and looks up one that may or
// may not have been written. It stops at the given time and prints the state of the change.
func (s *session) awaitChange(ctx context.Context, got response, until time.Time) subcommands.ExitStatus {
	for {
		var state adminapi.ChangeResponse
		if err := got.decode(&state); err != nil {
			s.printErrorf("%v", err)
			return exitFailed
		}
		if state.Status == adminapi.StatusAccepted || !time.Now().Before(until) || ctx.Err() != nil {
			return s.reportChange(got, state)
		}
		next, exit := s.pollChange(ctx, got, state, until)
		if exit != exitDone {
			return exit
		}
		got = next
	}
}

// pollChange returns the next response about a change. If the exit code is not exitDone, the
// reason has been printed.
func (s *session) pollChange(ctx context.Context, got response, state adminapi.ChangeResponse, until time.Time) (response, subcommands.ExitStatus) {
	if !state.Committed {
		return s.lookUp(ctx, got, state.ID)
	}
	return s.get(ctx, changePath(state.Version), waitQuery(time.Until(until)))
}

// lookUp waits for lookupInterval and looks a change up by its id. It returns the response about
// the change if it is found, and else got.
func (s *session) lookUp(ctx context.Context, got response, id string) (response, subcommands.ExitStatus) {
	if !sleep.For(ctx, lookupInterval) {
		return got, exitDone
	}
	next, err := s.do(ctx, request{
		method: http.MethodGet, path: "/changes", query: url.Values{"id": {id}},
	})
	switch {
	case err != nil:
		return got, s.reportNoResponse(err)
	case next.status == http.StatusGone:
		return got, s.reportFailure(next)
	case next.status != http.StatusOK:
		return got, exitDone
	}
	var found adminapi.ChangesResponse
	if err := next.decode(&found); err != nil || len(found.Changes) != 1 {
		return got, exitDone
	}
	next, err = s.do(ctx, request{
		method: http.MethodGet, path: changePath(found.Changes[0].Version), query: waitQuery(0),
	})
	if err != nil {
		return got, s.reportNoResponse(err)
	}
	return next, exitDone
}

func changePath(version uint64) string { return "/changes/" + strconv.FormatUint(version, 10) }

// reportChange prints the state of a change. It returns exitDone only if the change is in force
// everywhere.
func (s *session) reportChange(got response, state adminapi.ChangeResponse) subcommands.ExitStatus {
	switch {
	case s.json:
		s.printJSON(got.body)
	case state.Status == adminapi.StatusAccepted && state.Unchanged:
		fmt.Fprintln(s.out, "unchanged: it was so already, in force everywhere")
	case state.Status == adminapi.StatusAccepted:
		fmt.Fprintf(s.out, "accepted: version %d is in force everywhere\n", state.Version)
	case !state.Committed:
		s.printErrorf("pending: the change may or may not have been written, its id is %s", state.ID)
	default:
		s.printErrorf("pending: version %d is committed, not yet in force on %s", state.Version, strings.Join(state.Missing, ", "))
	}
	if state.Status == adminapi.StatusAccepted {
		return exitDone
	}
	return exitFailed
}
