package adminapi

import (
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/kataras/iris/v12"

	"geraniumcroft/internal/config"
)

const maxIDLength = 128

// edit is one change as a request asks for it.
type edit struct {
	kind config.EntityKind
	name string
	id   string
	// revision is what the author has read; 0 creates.
	revision uint64
	// value is the entity as JSON; nil deletes it.
	value json.RawMessage
	wait  time.Duration
}

// readEdit reads all but the value.
func readEdit(ctx iris.Context, kind config.EntityKind, mayCreate bool) (edit, *Problem) {
	e := edit{kind: kind, name: ctx.Params().Get("name")}
	var problem *Problem
	if e.revision, problem = precondition(ctx, mayCreate); problem != nil {
		return e, problem
	}
	if e.wait, problem = waitOf(ctx); problem != nil {
		return e, problem
	}
	e.id, problem = changeID(ctx)
	return e, problem
}

// changeID is the caller's Idempotency-Key, so that a repeated request is not a
// second change.
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
