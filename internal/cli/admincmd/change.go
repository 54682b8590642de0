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

// lookupInterval is the time between two looks for a change whose answer was lost.
const lookupInterval = 500 * time.Millisecond

// change sends a change and follows it until it is in force everywhere.
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
		s.complain("the change's id is %s", id)
		return s.failSend(err)
	}
	if got.status != http.StatusOK && got.status != http.StatusAccepted {
		return s.fail(got)
	}
	return s.follow(ctx, got, until)
}

// waitQuery asks the VM to wait, at most as long as it allows.
func waitQuery(wait time.Duration) url.Values {
	wait = max(0, min(wait, adminapi.MaxWait))
	return url.Values{"wait": {wait.String()}}
}

// follow waits for a committed change to be in force, and looks for one whose
// answer was lost, until the time is over.
func (s *session) follow(ctx context.Context, got reply, until time.Time) subcommands.ExitStatus {
	for {
		var state adminapi.ChangeResponse
		if err := got.decode(&state); err != nil {
			s.complain("%v", err)
			return exitFailed
		}
		if state.Status == adminapi.StatusAccepted || !time.Now().Before(until) || ctx.Err() != nil {
			return s.finish(got, state)
		}
		next, exit := s.again(ctx, got, state, until)
		if exit != exitDone {
			return exit
		}
		got = next
	}
}

func (s *session) again(ctx context.Context, got reply, state adminapi.ChangeResponse, until time.Time) (reply, subcommands.ExitStatus) {
	if !state.Committed {
		return s.lookUp(ctx, got, state.ID)
	}
	return s.get(ctx, changePath(state.Version), waitQuery(time.Until(until)))
}

// lookUp returns the change's state once it is found, and got until then.
func (s *session) lookUp(ctx context.Context, got reply, id string) (reply, subcommands.ExitStatus) {
	if !sleep.For(ctx, lookupInterval) {
		return got, exitDone
	}
	next, err := s.do(ctx, request{
		method: http.MethodGet, path: "/changes", query: url.Values{"id": {id}},
	})
	switch {
	case err != nil:
		return got, s.failSend(err)
	case next.status == http.StatusGone:
		return got, s.fail(next)
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
		return got, s.failSend(err)
	}
	return next, exitDone
}

func changePath(version uint64) string { return "/changes/" + strconv.FormatUint(version, 10) }

// finish prints what became of the change. Only one that is in force everywhere
// is done.
func (s *session) finish(got reply, state adminapi.ChangeResponse) subcommands.ExitStatus {
	switch {
	case s.json:
		s.printJSON(got.body)
	case state.Status == adminapi.StatusAccepted && state.Unchanged:
		fmt.Fprintln(s.out, "unchanged: it was so already, in force everywhere")
	case state.Status == adminapi.StatusAccepted:
		fmt.Fprintf(s.out, "accepted: version %d is in force everywhere\n", state.Version)
	case !state.Committed:
		s.complain("pending: the change may or may not have been written, its id is %s", state.ID)
	default:
		s.complain("pending: version %d is committed, not yet in force on %s", state.Version, strings.Join(state.Missing, ", "))
	}
	if state.Status == adminapi.StatusAccepted {
		return exitDone
	}
	return exitFailed
}
