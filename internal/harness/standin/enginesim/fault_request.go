package enginesim

import (
	"encoding/json"
	"net/http"

	"geraniumcroft/internal/harness/standin/faultnet"
)

// faultOrder is the body of POST /faults: faults that happen once, and changes of
// the standing ones.
type faultOrder struct {
	Die             bool            `json:"die"`
	Silence         bool            `json:"silence"`
	DropCacheEvents int             `json:"dropCacheEvents"`
	Set             json.RawMessage `json:"set"`
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var order faultOrder
	if !read(w, r, &order) {
		return
	}
	if len(order.Set) > 0 {
		var failed error
		e.SetFaults(func(f *Faults) { failed = json.Unmarshal(order.Set, f) })
		if failed != nil {
			answer(w, http.StatusBadRequest, &refusal{Code: "bad-request", Message: failed.Error()})
			return
		}
	}
	e.DropCacheEvents(order.DropCacheEvents)
	if order.Silence {
		e.goSilent(faultnet.ConnOf(r.Context()))
	}
	w.WriteHeader(http.StatusNoContent)
	_ = http.NewResponseController(w).Flush()
	if order.Die {
		e.Die() // takes the connection of the order with it
	}
}
