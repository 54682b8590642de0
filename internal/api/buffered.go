package api

import (
	"encoding/json"
	"net/http"

	"geraniumcroft/internal/outcome"
)

// respondBuffered runs a generation and sends its text in one response when it is
// complete.
func (x *exchange) respondBuffered(g *generation) {
	collector := &textCollector{}
	result, err := x.router.Generate(x.r.Context(), g.GenerateRequest, collector)
	if err != nil {
		x.writeProblem(toFailure(err))
		return
	}
	body, err := json.Marshal(g.response(collector.text.String(), result))
	if err != nil {
		panic(err)
	}
	x.writeResponse(http.StatusOK, "application/json", outcome.Complete, body)
}
