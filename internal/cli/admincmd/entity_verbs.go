package admincmd

import (
	"context"
	"net/http"
	"net/url"

	"github.com/google/subcommands"

	"geraniumcroft/internal/config"
)

func entityVerbs(kind config.EntityKind) []verb {
	e := entityCommands{kind: kind}
	verbs := []verb{
		{name: "list", help: "list all", run: e.list},
		{name: "show", args: "NAME", help: "print one as JSON, to be edited and set again", arity: 1, run: e.show},
		{name: "set", args: "NAME -f FILE", help: "create or change one; the file's revision must be the present one", arity: 1, run: e.set},
		{name: "delete", args: "NAME", help: "delete one", arity: 1, run: e.remove},
	}
	if kind == config.EntityTarget {
		verbs = append(verbs,
			verb{name: "drain", args: "NAME", help: "give it no new work; what it has in hand ends whole", arity: 1, run: e.postAction("drain")},
			verb{name: "undrain", args: "NAME", help: "give it work again", arity: 1, run: e.postAction("undrain")})
	}
	return verbs
}

// entityCommands implements the verbs for the entities of one kind.
type entityCommands struct {
	kind config.EntityKind
}

func (e entityCommands) path(name string) string {
	path := "/" + string(e.kind) + "s"
	if name != "" {
		path += "/" + url.PathEscape(name)
	}
	return path
}

func (e entityCommands) list(ctx context.Context, s *session, _ []string) subcommands.ExitStatus {
	if s.json {
		return s.show(ctx, e.path(""), nil)
	}
	r, exit := s.get(ctx, e.path(""), nil)
	if exit != exitDone {
		return exit
	}
	if err := e.printList(s, r); err != nil {
		s.printErrorf("%v", err)
		return exitFailed
	}
	return exitDone
}

func (e entityCommands) show(ctx context.Context, s *session, args []string) subcommands.ExitStatus {
	return s.show(ctx, e.path(args[0]), nil)
}

func (e entityCommands) remove(ctx context.Context, s *session, args []string) subcommands.ExitStatus {
	revision, exit := e.revisionToDelete(ctx, s, args[0])
	if exit != exitDone {
		return exit
	}
	return s.change(ctx, request{
		method: http.MethodDelete, path: e.path(args[0]), header: precondition(revision),
	})
}

// revisionToDelete returns the revision of the flag or, without one, the present revision of the
// entity. If the exit code is not exitDone, the reason has been printed.
func (e entityCommands) revisionToDelete(ctx context.Context, s *session, name string) (uint64, subcommands.ExitStatus) {
	if s.revision > 0 {
		return s.revision, exitDone
	}
	r, exit := s.get(ctx, e.path(name), nil)
	if exit != exitDone {
		return 0, exit
	}
	var present struct{ Revision uint64 }
	if err := r.decode(&present); err != nil {
		s.printErrorf("%v", err)
		return 0, exitFailed
	}
	return present.Revision, exitDone
}

// postAction returns the function of a verb that posts an action on an entity.
func (e entityCommands) postAction(action string) func(context.Context, *session, []string) subcommands.ExitStatus {
	return func(ctx context.Context, s *session, args []string) subcommands.ExitStatus {
		return s.change(ctx, request{method: http.MethodPost, path: e.path(args[0]) + "/" + action})
	}
}
