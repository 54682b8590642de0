package adminapi

import (
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/kataras/iris/v12"

	"geraniumcroft/internal/config"
)

const maxIDLength = 128

// edit is a change as requested.
type edit struct {
	kind config.EntityKind
	name string
	id   string
	// revision is the revision that the author has read. 0 creates the entity.
	revision uint64
	// value is the entity as JSON. nil deletes it.
	value json.RawMessage
	wait  time.Duration
}

// readEdit reads an edit, except its value, from the path, the query and the headers.
func readEdit(ctx iris.Context, kind config.EntityKind, mayCreate bool) (edit, *Problem) {
	e := edit{kind: kind, name: ctx.Params().Get("name")}
	var problem *Problem
	if e.revision, problem = expectedRevision(ctx, mayCreate); problem != nil {
		return e, problem
	}
	if e.wait, problem = waitParam(ctx); problem != nil {
		return e, problem
	}
	e.id, problem = changeID(ctx)
	return e, problem
}

// changeID returns the caller's Idempotency-Key, so that a repeated request does not
// make a second change, or a new ID if there is none.
func changeID(ctx iris.Context) (string, *Problem) {
	id := ctx.GetHeader("Idempotency-Key")
	if id == "" {
		return uuid.NewString(), nil
	}
	if len(id) > maxIDLength {
		return "", badRequest("Idempotency-Key has at most 128 characters.")
	}
	for _, r := range id {
		if r <= ' ' || r > '~' {
			return "", badRequest("Idempotency-Key has printable ASCII characters without spaces.")
		}
	}
	return id, nil
}
