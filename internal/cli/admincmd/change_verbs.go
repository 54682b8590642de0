package admincmd

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/google/subcommands"

	"geraniumcroft/internal/adminapi"
	"geraniumcroft/internal/config"
)

func changeVerbs() []verb {
	return []verb{
		{name: "list", help: "list changes, the oldest first", run: listChanges},
		{name: "show", args: "VERSION", help: "print a change and the VMs that have it in force", arity: 1, run: showChange},
		{name: "wait", args: "VERSION", help: "wait until it is in force everywhere", arity: 1, run: waitForChange},
		{name: "find", args: "ID", help: "find a change by its id, such as one that was left pending", arity: 1, run: findChange},
	}
}

func listChanges(ctx context.Context, s *session, _ []string) subcommands.ExitStatus {
	return printChanges(ctx, s, url.Values{
		"after": {strconv.FormatUint(s.after, 10)}, "limit": {strconv.Itoa(s.limit)},
	})
}

func findChange(ctx context.Context, s *session, args []string) subcommands.ExitStatus {
	return printChanges(ctx, s, url.Values{"id": {args[0]}})
}

func printChanges(ctx context.Context, s *session, query url.Values) subcommands.ExitStatus {
	r, err := s.do(ctx, request{method: http.MethodGet, path: "/changes", query: query})
	switch {
	case err != nil:
		return s.reportNoResponse(err)
	case r.status == http.StatusAccepted:
		return s.awaitChange(ctx, r, time.Now())
	case r.status != http.StatusOK:
		return s.reportFailure(r)
	case s.json:
		s.printJSON(r.body)
		return exitDone
	}
	var list adminapi.ChangesResponse
	if err := r.decode(&list); err != nil {
		s.printErrorf("%v", err)
		return exitFailed
	}
	var rows [][]string
	for _, change := range list.Changes {
		rows = append(rows, changeRow(change))
	}
	s.printTable([]string{"VERSION", "TIME", "AUTHOR", "KIND", "NAME", "ACTION", "ID"}, rows)
	return exitDone
}

func changeRow(change config.Change) []string {
	action := "set"
	if change.IsDelete() {
		action = "delete"
	}
	return []string{
		fmt.Sprint(change.Version), change.Time.Format(time.RFC3339), orDash(change.Author),
		string(change.Kind), change.Name, action, change.ID,
	}
}

func showChange(ctx context.Context, s *session, args []string) subcommands.ExitStatus {
	version, ok := parseVersion(s, args[0])
	if !ok {
		return exitUsage
	}
	return s.show(ctx, changePath(version), waitQuery(0))
}

func waitForChange(ctx context.Context, s *session, args []string) subcommands.ExitStatus {
	version, ok := parseVersion(s, args[0])
	if !ok {
		return exitUsage
	}
	until := time.Now().Add(s.wait)
	r, exit := s.get(ctx, changePath(version), waitQuery(s.wait))
	if exit != exitDone {
		return exit
	}
	return s.awaitChange(ctx, r, until)
}

func parseVersion(s *session, text string) (uint64, bool) {
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil || version == 0 {
		s.printErrorf("%q is not a version", text)
		return 0, false
	}
	return version, true
}
