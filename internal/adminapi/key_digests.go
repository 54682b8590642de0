package adminapi

import (
	"encoding/json"

	"github.com/kataras/iris/v12"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/confstore"
)

// keepKeyDigests lets an operator send back the workspace that was read, which
// has no digests: without the field the present digests stay, an empty list
// removes them. The digests are taken from just the revision that the operator
// has read; from an older one a key that was revoked meanwhile would come back.
func (a *API) keepKeyDigests(ctx iris.Context, e edit, body json.RawMessage) (json.RawMessage, *Problem) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return body, nil // validation says what is wrong with it
	}
	delete(fields, "keyDigestCount")
	if _, given := fields["keyDigests"]; !given {
		digests, problem := a.digestsFor(ctx, e)
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

// digestsFor returns the digests of the revision that was read, or those that the
// same request has written when its author sends it again.
func (a *API) digestsFor(ctx iris.Context, e edit) (json.RawMessage, *Problem) {
	w := workspaceOf(a.options.Store.Current(), e.name)
	if w.Revision != e.revision {
		if err := a.options.Store.Poll(ctx.Request().Context()); err != nil {
			return nil, unreadable(err)
		}
		w = workspaceOf(a.options.Store.Current(), e.name)
	}
	if w.Revision != e.revision {
		written := a.writtenBefore(ctx, e)
		if written == nil {
			return nil, staleWorkspace(w, e)
		}
		w = written
	}
	digests, err := json.Marshal(w.KeyDigests)
	if err != nil {
		return nil, badRequest("The workspace's keys could not be kept.")
	}
	return digests, nil
}

// writtenBefore returns the workspace as the change with the edit's id wrote it,
// or nil. The store compares all of it with what is proposed now.
func (a *API) writtenBefore(ctx iris.Context, e edit) *config.Workspace {
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

// workspaceOf returns an empty workspace at revision 0 when there is none.
func workspaceOf(snapshot *config.Snapshot, name string) *config.Workspace {
	if w := snapshot.Workspaces[name]; w != nil {
		return w
	}
	return &config.Workspace{KeyDigests: []string{}}
}

func staleWorkspace(w *config.Workspace, e edit) *Problem {
	conflict := &confstore.ConflictError{Kind: e.kind, Name: e.name, Revision: w.Revision, Wanted: e.revision}
	if w.Revision > 0 {
		conflict.Current, _ = json.Marshal(w)
	}
	return conflictProblem(conflict)
}
