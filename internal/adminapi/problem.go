package adminapi

import (
	"encoding/json"
	"net/http"

	"github.com/kataras/iris/v12"

	"geraniumcroft/internal/config"
)

const problemTypePrefix = "urn:geraniumcroft:problem:"

// Problem is an RFC 9457 problem body.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	Code   Code   `json:"code"`
	// Findings lists all errors of the entity.
	Findings []config.Finding `json:"findings,omitempty"`
	// Current is the present entity after a conflict, or nil if there is none.
	Current json.RawMessage `json:"current,omitempty"`
	// Revision is the revision of the present entity, or 0 if there is none.
	Revision uint64 `json:"revision,omitempty"`
	// ID is the ID of the change.
	ID string `json:"id,omitempty"`
}

// Error implements error.
func (p *Problem) Error() string { return p.Title + ": " + p.Detail }

// write sends the problem with the headers that belong to it.
func (p *Problem) write(w http.ResponseWriter) {
	p.Type = problemTypePrefix + string(p.Code)
	w.Header().Set("Content-Type", "application/problem+json")
	if p.Revision > 0 {
		w.Header().Set("ETag", etag(p.Revision))
	}
	if p.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", `Bearer realm="geraniumcroft admin"`)
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

func writeProblem(ctx iris.Context, p *Problem) { p.write(ctx.ResponseWriter()) }

func badRequest(detail string) *Problem {
	return &Problem{Status: http.StatusBadRequest, Code: CodeBadRequest, Title: "Bad request", Detail: detail}
}
