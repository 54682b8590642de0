package adminapi

import (
	"encoding/json"

	"github.com/kataras/iris/v12"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/confstore"
)

// fillKeyDigests completes a workspace that an operator has read, edited and sent
// back. Responses omit the digests, so a body without the field keeps the present
// ones; an empty list removes them. The digests are taken only from the revision that
// the operator has read: an older one could restore a key that was revoked since.
func (a *API) fillKeyDigests(ctx iris.Context, e edit, body json.RawMessage) (json.RawMessage, *Problem) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return body, nil // validation reports the error
	}
	delete(fields, "keyDigestCount")
	if _, given := fields["keyDigests"]; !given {
		digests, problem := a.keyDigestsFor(ctx, e)
		if problem != nil {
			return nil, problem
		}
		fields["keyDigests"] = digests
	}
	encoded, err := json.Marshal(fields)
	if err != nil {
		return nil, badRequest("The body does not encode.")
	}
	return encoded, nil
}

// keyDigestsFor returns the digests of the revision that the author has read. If the
// edit is a retry of a request that was already written, it returns the digests that
// were written.
func (a *API) keyDigestsFor(ctx iris.Context, e edit) (json.RawMessage, *Problem) {
	w := workspaceOrEmpty(a.options.Store.Current(), e.name)
	if w.Revision != e.revision {
		if err := a.options.Store.Poll(ctx.Request().Context()); err != nil {
			return nil, historyUnavailable(err)
		}
		w = workspaceOrEmpty(a.options.Store.Current(), e.name)
	}
	if w.Revision != e.revision {
		previous := a.previouslyWritten(ctx, e)
		if previous == nil {
			return nil, workspaceConflict(w, e)
		}
		w = previous
	}
	digests, err := json.Marshal(w.KeyDigests)
	if err != nil {
		return nil, badRequest("The workspace's keys could not be kept.")
	}
	return digests, nil
}

// previouslyWritten returns the workspace that an earlier change with the edit's ID
// has written, or nil. The store compares it in full with the new proposal.
func (a *API) previouslyWritten(ctx iris.Context, e edit) *config.Workspace {
	change, err := a.options.Store.Lookup(ctx.Request().Context(), e.id)
	if err != nil || change.Kind != e.kind || change.Name != e.name {
		return nil
	}
	w := &config.Workspace{}
	if err := json.Unmarshal(change.Value, w); err != nil {
		return nil
	}
	return w
}

// workspaceOrEmpty returns the workspace, or an empty one at revision 0 if it does
// not exist.
func workspaceOrEmpty(snapshot *config.Snapshot, name string) *config.Workspace {
	if w := snapshot.Workspaces[name]; w != nil {
		return w
	}
	return &config.Workspace{KeyDigests: []string{}}
}

// workspaceConflict is the problem for an edit of another revision than w's.
func workspaceConflict(w *config.Workspace, e edit) *Problem {
	conflict := &confstore.ConflictError{Kind: e.kind, Name: e.name, Revision: w.Revision, Wanted: e.revision}
	if w.Revision > 0 {
		conflict.Current, _ = json.Marshal(w)
	}
	return conflictProblem(conflict)
}
