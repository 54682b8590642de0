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
func (a *API) keepKeyDigests(ctx iris.Context, body json.RawMessage, revision uint64) (json.RawMessage, *Problem) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return body, nil // validation says what is wrong with it
	}
	delete(fields, "keyDigestCount")
	if _, given := fields["keyDigests"]; !given {
		digests, problem := a.digestsAt(ctx, revision)
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

func (a *API) digestsAt(ctx iris.Context, revision uint64) (json.RawMessage, *Problem) {
	name := ctx.Params().Get("name")
	w := workspaceOf(a.options.Store.Current(), name)
	if w.Revision != revision {
		if err := a.options.Store.Poll(ctx.Request().Context()); err != nil {
			return nil, unreadable(err)
		}
		w = workspaceOf(a.options.Store.Current(), name)
	}
	if w.Revision != revision {
		return nil, staleWorkspace(w, name, revision)
	}
	digests, err := json.Marshal(w.KeyDigests)
	if err != nil {
		return nil, badRequest("The workspace's keys could not be kept.")
	}
	return digests, nil
}

// workspaceOf returns an empty workspace at revision 0 when there is none.
func workspaceOf(snapshot *config.Snapshot, name string) *config.Workspace {
	if w := snapshot.Workspaces[name]; w != nil {
		return w
	}
	return &config.Workspace{KeyDigests: []string{}}
}

func staleWorkspace(w *config.Workspace, name string, wanted uint64) *Problem {
	conflict := &confstore.ConflictError{
		Kind: config.EntityWorkspace, Name: name, Revision: w.Revision, Wanted: wanted,
	}
	if w.Revision > 0 {
		conflict.Current, _ = json.Marshal(w)
	}
	return conflictProblem(conflict)
}
