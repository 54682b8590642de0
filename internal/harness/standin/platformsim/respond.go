package platformsim

import (
	"encoding/json"
	"net/http"
	"strconv"

	"geraniumcroft/internal/platform/httpplatform"
	"geraniumcroft/internal/sleep"
)

func hang(r *http.Request) {
	sleep.For(r.Context(), maxHang)
	panic(http.ErrAbortHandler)
}

func outage(w http.ResponseWriter) {
	problem := httpplatform.Problem{Code: httpplatform.CodeNotApplied, Detail: "ordered outage"}
	answer(w, http.StatusServiceUnavailable, problem)
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		badRequest(w, err)
		return false
	}
	return true
}

func badRequest(w http.ResponseWriter, err error) {
	problem := httpplatform.Problem{Code: httpplatform.CodeNotApplied, Detail: err.Error()}
	answer(w, http.StatusBadRequest, problem)
}

func answer(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(status)
	_, _ = w.Write(encoded) // the client notices a failed write
}
