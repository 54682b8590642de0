package enginesim

import (
	"encoding/json"
	"net/http"

	"geraniumcroft/internal/harness/standin/faultnet"
)

// faultRequest is the body of POST /faults: faults that happen once, and in Set
// changes of the persistent ones.
type faultRequest struct {
	Die             bool            `json:"die"`
	Silence         bool            `json:"silence"`
	DropCacheEvents int             `json:"dropCacheEvents"`
	Set             json.RawMessage `json:"set"`
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var request faultRequest
	if !read(w, r, &request) {
		return
	}
	if len(request.Set) > 0 {
		var failed error
		e.SetFaults(func(f *Faults) { failed = json.Unmarshal(request.Set, f) })
		if failed != nil {
			answer(w, http.StatusBadRequest, &refusal{Code: "bad-request", Message: failed.Error()})
			return
		}
	}
	e.DropCacheEvents(request.DropCacheEvents)
	if request.Silence {
		e.goSilent(faultnet.ConnOf(r.Context()))
	}
	w.WriteHeader(http.StatusNoContent)
	_ = http.NewResponseController(w).Flush()
	if request.Die {
		e.Die() // also resets the connection of this request
	}
}
